import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ResponseBody, TargetEnvironment } from './soak-targets.ts';
import { checkExpectedInstance, getAttemptId, HTTP_OK } from './soak-targets.ts';
import { waitForDrain } from './wait-for-drain.ts';

/** Headers in which a caller tells a bulk target how to behave; gateways forward them. */
export enum BulkHeader {
  /** Bytes of the answer. */
  AnswerBytes = 'x-soak-answer-bytes',
  /** `length` for an answer with a length, `chunked` or `endless`. */
  AnswerForm = 'x-soak-answer-form',
  /** Bytes per second at which the target reads the body; without it, at once. */
  ReadRate = 'x-soak-read-rate',
  /** Time between the end of the body and the answer, in milliseconds. */
  WorkMs = 'x-soak-work-ms',
}

/** Service of the bulk targets. */
export const BULK_SERVICE = 'bulk';

/** A target for large bodies and answers; no proxy stands before it, as a proxy would read at once. */
export interface BulkTarget {
  close(): void;
}

const MS_PER_SECOND = 1_000;
const PART = Buffer.alloc(65_536, ' ');
const EVENT_BYTES = 16_384;
const EVENT_PERIOD_MS = 10;
/** Pause between the parts of an endless answer. */
const ENDLESS_PERIOD_MS = 10;

function getNumber(incoming: IncomingMessage, header: BulkHeader): number {
  return Number(incoming.headers[header] ?? 0);
}

/** Writes bytes, and waits until the connection takes more; false if it has closed. */
async function writePart(response: ServerResponse, bytes: Buffer | string): Promise<boolean> {
  if (response.destroyed) return false;
  if (!response.write(bytes)) await waitForDrain(response);
  return !response.destroyed;
}

/** Starts a target that reads bodies and writes answers as the headers of each request say. */
export async function startBulkTarget(
  environment: TargetEnvironment,
  id: string,
  zone: string,
): Promise<BulkTarget> {
  const { host, timers, store, observations } = environment;

  const readSlowly = async (incoming: IncomingMessage): Promise<void> => {
    const bytesPerSecond = getNumber(incoming, BulkHeader.ReadRate);
    for await (const part of incoming) {
      const bytes = (part as Buffer).length;
      if (bytesPerSecond > 0) await timers.waitFor((bytes / bytesPerSecond) * MS_PER_SECOND);
    }
  };

  const writeEvents = async (response: ServerResponse, attemptId: string): Promise<void> => {
    const count = Math.ceil(getNumber(response.req, BulkHeader.AnswerBytes) / EVENT_BYTES);
    response.writeHead(HTTP_OK, { 'Content-Type': 'text/event-stream' });
    for (let number = 1; number <= count; number++) {
      const body: ResponseBody = { attemptId, version: undefined, number, last: count };
      const text = JSON.stringify(body).padEnd(EVENT_BYTES);
      if (!(await writePart(response, `id: ${number}\ndata: ${text}\n\n`))) return;
      await timers.waitFor(EVENT_PERIOD_MS);
    }
    response.end();
  };

  const writeAnswer = async (response: ServerResponse, attemptId: string): Promise<void> => {
    const form = response.req.headers[BulkHeader.AnswerForm];
    const body: ResponseBody = { attemptId, version: 0, number: undefined, last: undefined };
    const head = JSON.stringify(body);
    const bytes = Math.max(head.length, getNumber(response.req, BulkHeader.AnswerBytes));
    response.writeHead(HTTP_OK, {
      'Content-Type': 'application/json',
      ...(form === 'length' && { 'Content-Length': bytes }),
    });
    if (!(await writePart(response, head))) return;
    let left = form === 'endless' ? Infinity : bytes - head.length;
    for (; left > 0; left -= PART.length) {
      if (!(await writePart(response, PART.subarray(0, Math.min(left, PART.length))))) return;
      if (form === 'endless') await timers.waitFor(ENDLESS_PERIOD_MS);
    }
    response.end();
  };

  const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (!checkExpectedInstance(id, incoming, response)) return;
    await readSlowly(incoming);
    const attemptId = getAttemptId(incoming);
    const atMs = timers.getMonotonicMs();
    const run = { attemptId, targetId: id, afterEvent: 0, isGroupComplete: true, atMs };
    observations.runs.push(run);
    await timers.waitFor(getNumber(incoming, BulkHeader.WorkMs));
    response.setHeader('X-Response-Signature', 'signed');
    response.setHeader('X-Attempt-Id', attemptId);
    const isStream = incoming.url?.startsWith('/flood/') === true;
    await (isStream ? writeEvents(response, attemptId) : writeAnswer(response, attemptId));
  };

  const server = createServer((incoming, response) => {
    serve(incoming, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  store.putObject('servers', id, {
    service: BULK_SERVICE,
    address: `${host}:${port}`,
    zone,
    state: 'ready',
  });
  return {
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
