/* eslint-disable import-x/prefer-default-export, no-restricted-syntax, no-plusplus -- Node.js needs the extensions; stand-ins keep state and work step by step. */
// Clients that send streaming requests, each on a new connection.
import { request as sendRequest } from 'node:http';

const PERIOD_MS = 250;
const DEADLINE_MS = 6000;

/** Sends requests to the gateways by turns, until it is stopped. */
export function startClients(gateways, record) {
  const open = new Set();
  let count = 0;
  const send = () => {
    const attempt = `c${String(++count).padStart(5, '0')}`;
    const { name, host, front } = gateways[count % gateways.length];
    const headers = {
      Host: 'wax.example',
      'X-Attempt-Id': attempt,
      'X-Model': 'm1',
      'X-Token-Usage': '200,60',
      'X-Prompt-Prefix': `5c1e07a2:40,${attempt.replace('c', 'e')}:160`,
      'X-Deadline-Ms': DEADLINE_MS,
      'Content-Length': 2,
    };
    record('sent', { attempt, to: name });
    const options = { host, port: front, method: 'POST', path: '/advice/1', headers, agent: false };
    const request = sendRequest(options, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part) => {
        text += part;
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        open.delete(request);
        const events = text.split('\n\n').length - 1;
        record('answered', {
          attempt,
          status: response.statusCode,
          events,
          whole: response.complete,
        });
      });
    });
    request.on('error', (error) => {
      open.delete(request);
      record('failed', { attempt, problem: error.code });
    });
    open.add(request);
    request.end('{}');
  };
  const timer = setInterval(send, PERIOD_MS);
  return {
    stop: () => {
      clearInterval(timer);
      for (const request of open) request.destroy();
    },
  };
}
