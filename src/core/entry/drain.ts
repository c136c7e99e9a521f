import type { EventRecorder } from '../events/index.ts';
import type { Logger } from '../logs/index.ts';
import type { Membership } from '../membership/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { RequestPath } from './create-request-path.ts';
import type { EntrySettings } from './settings.ts';

/** Options of `drainDaemon`. */
export interface DrainOptions {
  settings: Pick<EntrySettings, 'addressLifetimeMs' | 'drainDeadlineMs'>;
  timers: TimerService;
  recorder: EventRecorder;
  logger: Logger;
  membership: Membership;
  requestPath: RequestPath;
}

/**
 * Drains the daemon for a graceful shutdown: stops being offered as an entry address, serves until
 * the addresses that callers have cached expire, and then waits for the streams and calls in flight,
 * at most for `drainDeadlineMs`.
 */
export async function drainDaemon(options: DrainOptions): Promise<void> {
  const { logger, membership, requestPath, recorder, settings, timers } = options;
  recorder.record('entry', 'leaving');
  membership.markLeaving();
  await timers.waitFor(settings.addressLifetimeMs);
  const deadline = new AbortController();
  const isDrained = await Promise.race([
    requestPath.callerServer.close().then(() => true),
    timers.waitFor(settings.drainDeadlineMs, deadline.signal).then(() => false),
  ]);
  deadline.abort();
  if (!isDrained) {
    logger.error('drain deadline exceeded, closing streams that are still running', {
      streams: requestPath.callerServer.countStreams(),
      drainDeadlineMs: settings.drainDeadlineMs,
    });
  }
  recorder.record('entry', 'drained', { complete: isDrained });
}
