import type { TimerService } from './types.ts';

/** Creates a `waitFor` function that is based on `scheduleOnce`. */
export function createWaitFor(scheduleOnce: TimerService['scheduleOnce']): TimerService['waitFor'] {
  return (delayMs, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = (): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = scheduleOnce(delayMs, finish);
      signal?.addEventListener('abort', finish);
    });
}
