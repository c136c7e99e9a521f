import { request as sendHttpRequest } from 'node:http';
import type { Agent, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { TimerService } from '../../core/timers/index.ts';
import { BulkHeader } from './bulk-targets.ts';
import type { Observations } from './observations.ts';
import { RequestClass, ResponseEnd } from './observations.ts';
import type { ResponseBody } from './soak-targets.ts';
import { waitForDrain } from './wait-for-drain.ts';

/** A request of a slow caller. */
export interface SlowRequest {
  path: string;
  headers: Record<string, string>;
  bodyBytes: number;
  /** Bytes that the target is asked for; undefined if its answer has no end. */
  answerBytes: number | undefined;
  /** Agent that keeps the connection; without one, each request has a connection of its own. */
  agent?: Agent;
}

/** Options of slow callers. */
export interface SlowCallersOptions {
  timers: TimerService;
  observations: Observations;
  apiKey: string;
  host: string;
  attemptPrefix: string;
}

/** Speed of a transfer; undefined for one at once. */
export type Pace = { partBytes: number; everyMs: number } | undefined;

/** Connections and requests of slow callers. */
export interface SlowCallers {
  /** Opens connections that have written the given bytes and read nothing, until the signal aborts. */
  holdConnections(
    address: string,
    count: number,
    signal: AbortSignal,
    buildParts: () => (Buffer | string)[],
  ): Promise<void>;
  /** Writes the requests on one connection without waiting, and reads the answers and drops them. */
  sendPipeline(
    address: string,
    count: number,
    signal: AbortSignal,
    options: SlowRequest,
  ): Promise<void>;
  /** Sends one request, reads its answer and records both; false if the connection failed. */
  sendRequest(
    address: string,
    options: SlowRequest,
    pace: { send: Pace; read: Pace },
    signal: AbortSignal,
  ): Promise<boolean>;
  /** Builds the head of a recorded request. */
  buildHead(address: string, options: SlowRequest): string;
}

export const BULK_DEADLINE_MS = 6_000;
const CONNECTIONS_AT_ONCE = 100;
const CONNECT_TIMEOUT_MS = 1_000;
const BODY = Buffer.alloc(4_194_304, 'o');
const MAX_HEAD_BYTES = 1_024;

/** Resolves when the socket is connected or has failed, or after the time that callers allow. */
function waitForConnection(socket: Socket, timers: TimerService): Promise<void> {
  return new Promise((resolve) => {
    const cancel = timers.scheduleOnce(CONNECT_TIMEOUT_MS, resolve);
    const finish = (): void => {
      cancel();
      resolve();
    };
    socket.once('connect', finish);
    socket.once('close', finish);
  });
}

/** Creates callers that read or send slowly, stop, or do not wait for answers. */
export function createSlowCallers(options: SlowCallersOptions): SlowCallers {
  const { timers, observations, apiKey, host } = options;
  let attempts = 0;

  const buildHeaders = (gateway: string, request: SlowRequest): Record<string, string> => {
    const attemptId = `${options.attemptPrefix}-${attempts++}`;
    observations.requests.set(attemptId, {
      attemptId,
      requestClass: RequestClass.Bulk,
      gateway,
      sentMs: timers.getMonotonicMs(),
      isDeadly: false,
    });
    return {
      host,
      authorization: `Bearer ${apiKey}`,
      'x-attempt-id': attemptId,
      'x-deadline-ms': String(BULK_DEADLINE_MS),
      'content-length': String(request.bodyBytes),
      ...(request.answerBytes !== undefined && {
        [BulkHeader.AnswerBytes]: String(request.answerBytes),
      }),
      ...request.headers,
    };
  };

  const buildHead = (gateway: string, request: SlowRequest): string => {
    const fields = Object.entries(buildHeaders(gateway, request));
    const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    return `POST ${request.path} HTTP/1.1\r\n${lines}\r\n`;
  };

  const openSocket = (address: string): Socket => {
    const { hostname, port } = new URL(`http://${address}`);
    const socket = connect({ host: hostname, port: Number(port) });
    // A failed socket also emits `close`, and a load goes on without it.
    socket.on('error', () => undefined);
    return socket;
  };

  const readAnswer = async (
    response: IncomingMessage,
    read: Pace,
    signal: AbortSignal,
  ): Promise<{ bytes: number; head: string; end: ResponseEnd }> => {
    let bytes = 0;
    let head = '';
    let end = ResponseEnd.Complete;
    try {
      for await (const part of response) {
        bytes += (part as Buffer).length;
        if (head.length < MAX_HEAD_BYTES)
          head += String((part as Buffer).subarray(0, MAX_HEAD_BYTES));
        if (read !== undefined) {
          await timers.waitFor(((part as Buffer).length / read.partBytes) * read.everyMs, signal);
        }
      }
    } catch {
      end = signal.aborted ? ResponseEnd.GivenUp : ResponseEnd.Broken;
    }
    const isCut = end === ResponseEnd.Complete && !response.complete;
    return { bytes, head, end: isCut ? ResponseEnd.Broken : end };
  };

  const recordAnswer = async (
    attemptId: string,
    request: SlowRequest,
    response: IncomingMessage,
    read: Pace,
    signal: AbortSignal,
  ): Promise<void> => {
    const { bytes, head, end } = await readAnswer(response, read, signal);
    const status = response.statusCode ?? 0;
    const isSuccess = status >= 200 && status < 300;
    const body = /^(?<json>\{[^}]*\})/.exec(head)?.groups?.json;
    observations.responses.push({
      attemptId,
      status,
      bodyAttemptId:
        isSuccess && body !== undefined ? (JSON.parse(body) as ResponseBody).attemptId : undefined,
      eventNumbers: [],
      lastEventNumber: undefined,
      end,
      version: undefined,
      endedMs: timers.getMonotonicMs(),
      ...(isSuccess && { missingBytes: (request.answerBytes ?? Infinity) - bytes }),
    });
  };

  return {
    buildHead,
    async holdConnections(address, count, signal, buildParts) {
      const sockets: Socket[] = [];
      while (sockets.length < count && !signal.aborted) {
        const opened = Array.from({ length: CONNECTIONS_AT_ONCE }, () => openSocket(address));
        sockets.push(...opened);
        opened.forEach((socket) => {
          socket.pause();
          buildParts().forEach((part) => socket.write(part));
        });
        await Promise.all(opened.map((socket) => waitForConnection(socket, timers)));
      }
      await timers.waitFor(2 * BULK_DEADLINE_MS, signal);
      sockets.forEach((socket) => socket.destroy());
    },
    async sendPipeline(address, count, signal, request) {
      const socket = openSocket(address);
      socket.resume();
      await waitForConnection(socket, timers);
      for (let sent = 0; sent < count && !signal.aborted && !socket.destroyed; sent++) {
        if (socket.write(buildHead(address, request))) continue;
        await waitForDrain(socket, signal);
      }
      if (!socket.destroyed) await timers.waitFor(2 * BULK_DEADLINE_MS, signal);
      socket.destroy();
    },
    async sendRequest(address, request, { send, read }, signal) {
      const headers = buildHeaders(address, request);
      const { hostname, port } = new URL(`http://${address}`);
      const outgoing = sendHttpRequest({
        host: hostname,
        port: Number(port),
        path: request.path,
        method: 'POST',
        headers,
        agent: request.agent ?? false,
        signal,
      });
      const received = new Promise<IncomingMessage | undefined>((resolve) => {
        outgoing.once('response', resolve);
        outgoing.on('error', () => resolve(undefined));
        outgoing.once('close', () => resolve(undefined));
      });
      const partBytes = send?.partBytes ?? BODY.length;
      for (let left = request.bodyBytes; left > 0 && !outgoing.destroyed; left -= partBytes) {
        outgoing.write(BODY.subarray(0, Math.min(left, partBytes)));
        if (send !== undefined) await timers.waitFor(send.everyMs, signal);
      }
      outgoing.end();
      const response = await received;
      if (response === undefined) return false;
      await recordAnswer(headers['x-attempt-id'] ?? '', request, response, read, signal);
      if (request.agent === undefined) outgoing.destroy();
      return true;
    },
  };
}
