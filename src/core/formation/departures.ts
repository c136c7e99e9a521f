import type { Target } from '../fleet/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { GroupKey } from './head-registry.ts';

/** Tracks engines that have left a group whose head may still hold requests. */
export interface Departures {
  /** Records the groups that the entries of engines show now. */
  update(engines: readonly Target[]): void;
  /**
   * Whether an engine has left a group that may not be broken yet. A group that lost a member stands
   * still for the stall time, so that its requests are neither served nor rejected until then.
   */
  isRecent(engineId: string): boolean;
}

/** Dependencies and settings of the departures. */
export interface DepartureOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  /** Whether the head of a group may still hold requests. */
  mayHoldRequests(group: GroupKey): boolean;
  /** Time after which a group breaks when a member has left it, in ms. */
  stallMs: number;
}

/** Covers the engine's own delay in noticing that the stall time is over. */
const BREAK_MARGIN_MS = 250;
/** The record of an engine is removed when it has had no entry for this long. */
const RECORD_TTL_MS = 60_000;

interface Membership {
  /** Last group that an entry showed. */
  group: GroupKey;
  /** Process start of the engine. */
  startedWallMs: number;
  seenMs: number;
  /** When an entry without a group was first seen. */
  leftMs: number | undefined;
}

/** Creates the departures, without any engine. */
export function createDepartures(options: DepartureOptions): Departures {
  const { timers, mayHoldRequests, stallMs } = options;
  const memberships = new Map<string, Membership>();

  const updateEngine = ({ id, service, group, startedWallMs }: Target, now: number): void => {
    const known = memberships.get(id);
    if (group !== undefined) {
      const { name, epoch } = group;
      const shown = { service, name, epoch };
      memberships.set(id, { group: shown, startedWallMs, seenMs: now, leftMs: undefined });
    } else if (known?.startedWallMs === startedWallMs) {
      known.leftMs ??= now;
      known.seenMs = now;
    } else memberships.delete(id);
  };

  return {
    update(engines) {
      const now = timers.getMonotonicMs();
      engines.forEach((engine) => updateEngine(engine, now));
      for (const [id, { seenMs }] of memberships) {
        if (now - seenMs > RECORD_TTL_MS) memberships.delete(id);
      }
    },
    isRecent(engineId) {
      const membership = memberships.get(engineId);
      if (membership?.leftMs === undefined) return false;
      const leftForMs = timers.getMonotonicMs() - membership.leftMs;
      return leftForMs <= stallMs + BREAK_MARGIN_MS && mayHoldRequests(membership.group);
    },
  };
}
