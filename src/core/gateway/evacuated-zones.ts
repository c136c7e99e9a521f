import type { LogContext, Logger } from '../logs/index.ts';
import type { FeedListener } from '../store-feed/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Availability zones that operators have taken out of service. */
export interface EvacuatedZones {
  isEvacuated(availabilityZone: string): boolean;
  listener: FeedListener;
}

/**
 * Time for operators to write again what the store has lost. Until then, the zones that the store lists
 * are those of its copy, and not what the operators want.
 */
const REWRITE_MS = 5_000;

/** Creates an empty list of zones, which the feed of the evacuations updates. */
export function createEvacuatedZones(
  timers: Pick<TimerService, 'getMonotonicMs'>,
  logger: Logger,
): EvacuatedZones {
  const stored = new Set<string>();
  /** Zones from before a restoration of the store, with the changes since. */
  let held = new Set<string>();
  let heldUntilMs = -Infinity;

  const getInForce = (): ReadonlySet<string> =>
    timers.getMonotonicMs() < heldUntilMs ? held : stored;

  const logZones = (message: string, context: LogContext = {}): void => {
    const zones = { listed: [...stored].join(' '), inForce: [...getInForce()].join(' ') };
    logger.info(message, { ...zones, ...context });
  };

  return {
    isEvacuated: (availabilityZone) => getInForce().has(availabilityZone),
    listener: {
      handleList(objects) {
        stored.clear();
        objects.forEach(({ name }) => stored.add(name));
        logZones('listed the evacuated zones');
      },
      handleObject({ name }) {
        stored.add(name);
        held.add(name);
        logger.info('a zone is taken out', { zone: name });
      },
      handleDelete({ name }) {
        stored.delete(name);
        held.delete(name);
        logger.info('a zone is back', { zone: name });
      },
      handleRestoration() {
        held = new Set(getInForce());
        heldUntilMs = timers.getMonotonicMs() + REWRITE_MS;
        logZones('holds the evacuations of before the restoration', { forMs: REWRITE_MS });
      },
    },
  };
}
