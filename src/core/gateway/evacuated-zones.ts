import type { LogContext, Logger } from '../logs/index.ts';
import type { FeedListener } from '../store-feed/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Availability zones that operators have taken out of service. */
export interface EvacuatedZones {
  isEvacuated(availabilityZone: string): boolean;
  listener: FeedListener;
}

/**
 * Time for operators to write again what the store has lost. Until then, an evacuation that is missing
 * from its copy stays in force, and one that was taken back since the copy does not come back.
 */
const REWRITE_MS = 5_000;

/** Creates an empty list of zones, which the feed of the evacuations updates. */
export function createEvacuatedZones(
  timers: Pick<TimerService, 'getMonotonicMs'>,
  logger: Logger,
): EvacuatedZones {
  /** Zones that the store has, with the revisions of their evacuations. */
  let stored = new Map<string, number>();
  /** Zones that were in force before a restoration of the store, less those taken back since. */
  let held = new Set<string>();
  /**
   * Revisions of the evacuations that were taken back, by zone. A copy of the store that still has one
   * lists it with the same revision; an evacuation that is written later has another one.
   */
  const takenBack = new Map<string, number>();
  let rewrittenMs = -Infinity;

  const isEvacuated = (zone: string): boolean => {
    const revision = stored.get(zone);
    if (timers.getMonotonicMs() >= rewrittenMs) return revision !== undefined;
    return held.has(zone) || (revision !== undefined && takenBack.get(zone) !== revision);
  };

  const listInForce = (): string[] => [...new Set([...held, ...stored.keys()])].filter(isEvacuated);

  const takeBack = (zone: string): void => {
    const revision = stored.get(zone);
    if (revision !== undefined) takenBack.set(zone, revision);
    stored.delete(zone);
    held.delete(zone);
  };

  const logZones = (message: string, context: LogContext = {}): void => {
    const zones = { listed: [...stored.keys()].join(' '), inForce: listInForce().join(' ') };
    logger.info(message, { ...zones, ...context });
  };

  return {
    isEvacuated,
    listener: {
      handleList(objects) {
        const listed = new Map(objects.map(({ name, revision }) => [name, revision]));
        [...stored.keys()].filter((zone) => !listed.has(zone)).forEach(takeBack);
        stored = listed;
        logZones('listed the evacuated zones');
      },
      handleObject({ name, revision }) {
        stored.set(name, revision);
        takenBack.delete(name);
        logger.info('a zone is taken out', { zone: name });
      },
      handleDelete({ name }) {
        takeBack(name);
        logger.info('a zone is back', { zone: name });
      },
      handleRestoration() {
        held = new Set(listInForce());
        // A zone that the copy lacks has not been taken back.
        stored.clear();
        rewrittenMs = timers.getMonotonicMs() + REWRITE_MS;
        logZones('keeps the evacuations from before the restoration', { forMs: REWRITE_MS });
      },
    },
  };
}
