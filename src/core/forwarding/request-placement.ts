import {
  computeExpectedWaitMs,
  computeMaxInFlight,
  computeRetryAfterMs,
  formatRequestKey,
  RefusalCause,
} from '../placement/index.ts';
import type { PlaceKey, ServiceTimes, WaitingLines } from '../placement/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { TargetCapacity, TargetChooser, TargetQuery } from './choose-target.ts';
import type { RoutedRequest } from './forward-request.ts';
import { FailureReason } from './types.ts';

/** Dependencies of the placement of one request. */
export interface RequestPlacementOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  chooser: TargetChooser;
  lines: WaitingLines;
  serviceTimes: ServiceTimes;
  /** Returns the number of gateways that share the targets. */
  countGateways(): number;
  random(): number;
}

/** Until when a request may wait for a place, and why it is refused if it gets none. */
export interface WaitPlan {
  /** Undefined if the request is refused at once. */
  giveUpMs: number | undefined;
  reason: FailureReason;
}

/** Applies the placement decisions to one request. */
export interface RequestPlacement {
  key: PlaceKey;
  /** Builds the query for a target; one that has begun may be continued at a full target. */
  buildQuery(hasBegun: boolean, triedIds: ReadonlySet<string>): TargetQuery;
  /** Decides how long the request waits, after no target was found for the query. */
  planWait(query: TargetQuery): WaitPlan;
  /** Returns when the caller of the request, which was refused, should return. */
  getRetryAfterMs(reason: FailureReason): number;
}

/** Share of the latency objective for which a request may wait for a target in any case. */
const MIN_WAIT_SHARE = 1 / 8;

const REFUSAL_CAUSES: ReadonlyMap<FailureReason, RefusalCause> = new Map([
  [FailureReason.NoTarget, RefusalCause.NoTarget],
  [FailureReason.TargetsLimited, RefusalCause.Limited],
]);

/** Creates the placement of a request. */
export function createRequestPlacement(
  input: RoutedRequest,
  options: RequestPlacementOptions,
): RequestPlacement {
  const { request, route, service, arrivedMs } = input;
  const { timers, chooser, lines, serviceTimes } = options;
  const key = formatRequestKey(service, request.model);

  /** Returns the time at which the request must be at a target for its first event to be in time. */
  const getSlackEndMs = (): number =>
    arrivedMs + route.latencyObjectiveMs - serviceTimes.getFirstEventMs(key);

  /** Query that also finds the targets that the request has tried. */
  const anyTarget: TargetQuery = { service, model: request.model, triedIds: new Set() };

  const computeCapacity = (query: TargetQuery): TargetCapacity =>
    chooser.computeCapacity(query, serviceTimes.getDurationMs(key));

  const getExpectedWaitMs = ({ slots, pauseMs }: TargetCapacity, giveUpMs: number): number =>
    pauseMs +
    computeExpectedWaitMs({
      ahead: lines.countAhead(key, { priority: route.priority, giveUpMs }),
      totalSlots: slots,
      durationMs: serviceTimes.getDurationMs(key),
      gateways: options.countGateways(),
    });

  return {
    key,
    buildQuery(hasBegun, triedIds) {
      const query = { service, model: request.model, triedIds };
      if (service.engine === undefined || hasBegun) return query;
      const maxInFlight = computeMaxInFlight({
        slots: service.engine.slots,
        slackMs: getSlackEndMs() - timers.getMonotonicMs(),
        durationMs: serviceTimes.getDurationMs(key),
      });
      return { ...query, maxInFlight };
    },
    planWait(query) {
      const now = timers.getMonotonicMs();
      const minEndMs = arrivedMs + route.latencyObjectiveMs * MIN_WAIT_SHARE;
      const total = computeCapacity(anyTarget);
      const { pauseMs } = total;
      if (pauseMs > 0 && now + pauseMs > Math.max(getSlackEndMs(), minEndMs)) {
        return { reason: FailureReason.TargetsLimited, giveUpMs: undefined };
      }
      const capacity = query.triedIds.size === 0 ? total : computeCapacity(query);
      const { targetCount, areAllLimited } = capacity;
      if (targetCount === 0 || (service.engine === undefined && !areAllLimited)) {
        return { reason: FailureReason.NoTarget, giveUpMs: now < minEndMs ? minEndMs : undefined };
      }
      const giveUpMs = Math.max(getSlackEndMs(), minEndMs);
      const expectedWaitMs = getExpectedWaitMs(capacity, giveUpMs);
      const reason = areAllLimited ? FailureReason.TargetsLimited : FailureReason.TargetsFull;
      return { reason, giveUpMs: now + expectedWaitMs > giveUpMs ? undefined : giveUpMs };
    },
    getRetryAfterMs(reason) {
      const capacity = computeCapacity(anyTarget);
      const retryAfterMs = computeRetryAfterMs({
        cause: REFUSAL_CAUSES.get(reason) ?? RefusalCause.Full,
        durationMs: serviceTimes.getDurationMs(key),
        expectedWaitMs: getExpectedWaitMs(capacity, getSlackEndMs()),
        random: options.random(),
      });
      return Math.max(capacity.pauseMs, retryAfterMs);
    },
  };
}
