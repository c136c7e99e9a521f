import type { ServerResponse } from 'node:http';
import type { CallerSink } from '../forwarding/index.ts';

/** Bytes buffered for a slow caller before the gateway stops reading from the target. */
const HIGH_WATER_MARK_BYTES = 64 * 1024;

/** Creates a sink that writes the response to one request to a Node.js response. */
export function createResponseSink(response: ServerResponse, isLeaving: () => boolean): CallerSink {
  const listConnectionHeaders = (): string[] => (isLeaving() ? ['Connection', 'close'] : []);
  return {
    sendResponse(status, headers, body) {
      const length = ['Content-Length', String(body.length)];
      response.writeHead(status, [...headers, ...length, ...listConnectionHeaders()]);
      response.end(body);
    },
    startBody(status, headers) {
      response.writeHead(status, [...headers, ...listConnectionHeaders()]);
    },
    writeBody(part) {
      response.write(part);
      return response.writableLength < HIGH_WATER_MARK_BYTES;
    },
    endBody: () => {
      response.end();
    },
    abort: () => {
      response.destroy();
    },
    onWritable: (listener) => {
      response.once('drain', listener);
    },
  };
}
