import type { EventRecorder } from '../events/index.ts';
import type { Logger } from '../logs/index.ts';
import type { Membership } from '../membership/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { RequestPath } from './create-request-path.ts';
import type { EntrySettings } from './settings.ts';

/** Parts that take part in a planned stop. */
export interface DrainOptions {
  settings: Pick<EntrySettings, 'addressLifetimeMs' | 'drainDeadlineMs'>;
  timers: TimerService;
  recorder: EventRecorder;
  logger: Logger;
  membership: Membership;
  path: RequestPath;
}

/**
 * Leaves the address answers, serves until the answers that callers hold have expired, and then
 * waits for the streams and calls in flight.
 */
export async function drainDaemon(options: DrainOptions): Promise<void> {
  const { logger, membership, path, recorder, settings, timers } = options;
  recorder.record('entry', 'leaving');
  membership.markLeaving();
  await timers.waitFor(settings.addressLifetimeMs);
  const deadline = new AbortController();
  const isDrained = await Promise.race([
    path.callers.close().then(() => true),
    timers.waitFor(settings.drainDeadlineMs, deadline.signal).then(() => false),
  ]);
  deadline.abort();
  if (!isDrained) {
    logger.error('streams were cut at the deadline of the planned stop', {
      streams: path.callers.countStreams(),
      drainDeadlineMs: settings.drainDeadlineMs,
    });
  }
  recorder.record('entry', 'drained', { complete: isDrained });
}
