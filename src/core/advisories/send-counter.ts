import type { TimerService } from '../timers/index.ts';
import { SEND_WINDOW_MS } from './consts.ts';

/** Counts the requests that this gateway sends to each target. */
export interface SendCounter {
  recordSend(targetId: string, isRetry: boolean): void;
  /** Counts the requests of the last `SEND_WINDOW_MS`, and those of them that are retries. */
  countRecent(targetId: string): { sent: number; resent: number };
  stop(): void;
}

interface Send {
  atMs: number;
  isRetry: boolean;
}

/** Creates a counter without requests; it forgets targets that get no more of them. */
export function createSendCounter(
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>,
): SendCounter {
  const sends = new Map<string, Send[]>();

  const listRecent = (targetId: string): Send[] => {
    const oldestMs = timers.getMonotonicMs() - SEND_WINDOW_MS;
    const recent = (sends.get(targetId) ?? []).filter(({ atMs }) => atMs > oldestMs);
    if (recent.length > 0) sends.set(targetId, recent);
    else sends.delete(targetId);
    return recent;
  };

  const stop = timers.subscribe(SEND_WINDOW_MS, () => [...sends.keys()].forEach(listRecent));

  return {
    recordSend(targetId, isRetry) {
      const send = { atMs: timers.getMonotonicMs(), isRetry };
      const known = sends.get(targetId);
      if (known === undefined) sends.set(targetId, [send]);
      else known.push(send);
    },
    countRecent(targetId) {
      const recent = listRecent(targetId);
      return { sent: recent.length, resent: recent.filter(({ isRetry }) => isRetry).length };
    },
    stop,
  };
}
