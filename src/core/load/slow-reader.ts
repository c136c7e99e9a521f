import type { Dispatcher } from 'undici';
import type { TimerService } from '../timers/index.ts';

/** Makes a dispatcher read slowly: the socket is not read for a while after each chunk. */
export function createSlowDispatcher(
  dispatcher: Dispatcher,
  timers: TimerService,
  pauseMs: number,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) => {
    let resume = (): void => {};
    return dispatch(options, {
      onConnect: (abort) => handler.onConnect?.(abort),
      onError: (error) => handler.onError?.(error),
      onHeaders(statusCode, headers, resumeSocket, statusText) {
        resume = resumeSocket;
        // The reader may not resume the socket earlier.
        return handler.onHeaders?.(statusCode, headers, () => {}, statusText) ?? true;
      },
      onData(chunk) {
        handler.onData?.(chunk);
        timers.scheduleOnce(pauseMs, () => resume());
        return false;
      },
      onComplete: (trailers) => handler.onComplete?.(trailers),
    });
  });
}
