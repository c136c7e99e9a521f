import type { Dispatcher } from 'undici';
import type { TimerService } from '../timers/index.ts';

/** Wraps a dispatcher so that the socket is paused for `pauseMs` after each chunk. */
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
        // The reader gets a no-op instead, so that it can't resume the socket before the pause ends.
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
