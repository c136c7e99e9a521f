import type { CallerSink } from '../forwarding/index.ts';

const HTTP_SUCCESS_MIN = 200;
const HTTP_SUCCESS_MAX = 299;

/** Wraps a sink so that `recordBegin` is called once, when a target's answer to the request begins. */
export function createBeginSink(sink: CallerSink, recordBegin: () => void): CallerSink {
  let hasBegun = false;
  const recordStatus = (status: number): void => {
    // A gateway itself answers only with statuses of failures.
    if (hasBegun || status < HTTP_SUCCESS_MIN || status > HTTP_SUCCESS_MAX) return;
    hasBegun = true;
    recordBegin();
  };
  return {
    ...sink,
    sendResponse(status, ...rest) {
      recordStatus(status);
      sink.sendResponse(status, ...rest);
    },
    startBody(status, headers) {
      recordStatus(status);
      sink.startBody(status, headers);
    },
  };
}
