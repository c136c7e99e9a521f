import {
  computeExpectedWaitMs,
  computeMaxInFlight,
  computeRetryAfterMs,
  formatRequestKey,
  planArrival,
  RefusalCause,
} from '../placement/index.ts';
import type {
  PlaceKey,
  PlacementState,
  RequestClass,
  Waiter,
  WaitingLoad,
} from '../placement/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { WorkInput } from '../work/index.ts';
import type { TargetCapacity, TargetChooser, TargetQuery } from './choose-target.ts';
import type { RoutedRequest } from './forward-request.ts';
import { FailureReason } from './types.ts';

/** Dependencies of the placement of one request. */
export interface RequestPlacementOptions extends PlacementState {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  chooser: TargetChooser;
  /** Returns the number of gateways that share the targets. */
  countGateways(): number;
  random(): number;
}

/** Until when a request may wait for a place, and why it is refused if it gets none. */
export interface WaitPlan {
  /** Undefined if the request is refused at once. */
  giveUpMs: number | undefined;
  reason: FailureReason;
  /** Waiting request that is refused to make room for this one. */
  displaced?: Waiter | undefined;
}

/** Properties of the request that decide its place in the line. */
export type WaiterRank = Pick<Waiter, 'priority' | 'isYielding' | 'load'>;

/** Applies the placement decisions to one request. */
export interface RequestPlacement {
  key: PlaceKey;
  /** Records that the request asks for a place. */
  recordArrival(): void;
  /** Builds the query for a target; one that has begun may be continued at a full target. */
  buildQuery(hasBegun: boolean, triedIds: ReadonlySet<string>): TargetQuery;
  /** Builds what the request's place in the line depends on, besides the time that is left. */
  buildRank(): WaiterRank;
  /** Decides how long the request waits, after no target was found for the query. */
  planWait(query: TargetQuery): WaitPlan;
  /** Records that the request is refused; returns when its caller should return, in ms. */
  refuseRequest(reason: FailureReason): number;
  /** Records the time from the only send of the request to the end of its response. */
  recordDuration(elapsedMs: number): void;
}

/** Share of the latency objective for which a request may wait for a target in any case. */
const MIN_WAIT_SHARE = 1 / 8;
/** Share of the time that is left for which callers wait at most before they return. */
const MAX_RETURN_SHARE = 1 / 3;

const REFUSAL_CAUSES: ReadonlyMap<FailureReason, RefusalCause> = new Map([
  [FailureReason.NoTarget, RefusalCause.NoTarget],
  [FailureReason.TargetsLimited, RefusalCause.Limited],
]);

function buildWorkInput({ request, route, service, customer, body }: RoutedRequest): WorkInput {
  return {
    service,
    model: request.model,
    route: route.name,
    customer,
    sizes: {
      promptTokens: request.promptTokens,
      maxAnswerTokens: request.maxAnswerTokens,
      expectedAnswerTokens: request.expectedAnswerTokens,
      bodyBytes: body.length,
    },
  };
}

/** Creates the placement of a request. */
export function createRequestPlacement(
  input: RoutedRequest,
  options: RequestPlacementOptions,
): RequestPlacement {
  const { request, route, service, customer, arrivedMs } = input;
  const { timers, chooser, lines, serviceTimes, shares, priorities } = options;
  const key = formatRequestKey(service, request.model);
  const { priority } = route;
  const workInput = buildWorkInput(input);
  const work = options.work.computeWork(workInput);
  const requestClass: RequestClass = {
    key,
    route: route.name,
    customer,
    isLarge: work?.isLarge ?? false,
  };

  /** Returns the time at which the request must be at a target for its first event to be in time. */
  const getSlackEndMs = (): number =>
    arrivedMs + route.latencyObjectiveMs - serviceTimes.getFirstEventMs(key);

  /**
   * Returns the time until which the request may wait: its first event should be in time, and its
   * answer complete before the caller leaves.
   */
  const getGiveUpMs = (): number => {
    const minEndMs = arrivedMs + route.latencyObjectiveMs * MIN_WAIT_SHARE;
    const latestMs = work === undefined ? Infinity : input.dueMs - work.workMs;
    return Math.min(Math.max(getSlackEndMs(), minEndMs), latestMs);
  };

  /** Query that also finds the targets that the request has tried. */
  const anyTarget: TargetQuery = { service, model: request.model, triedIds: new Set() };

  const computeCapacity = (query: TargetQuery): TargetCapacity =>
    chooser.computeCapacity(query, serviceTimes.getDurationMs(key));

  /** Returns the mean time between two slots that are free for this gateway, its own or others. */
  const getSlotEveryMs = ({ slots, borrowEveryMs }: TargetCapacity): number => {
    const ownEveryMs = computeExpectedWaitMs({
      ahead: 0,
      totalSlots: slots,
      durationMs: serviceTimes.getDurationMs(key),
      gateways: options.countGateways(),
    });
    return Math.min(ownEveryMs, borrowEveryMs);
  };

  const buildLoad = (): WaitingLoad | undefined =>
    service.engine && {
      workMs: work?.workMs ?? serviceTimes.getDurationMs(key),
      isTold: work !== undefined,
      requestClass,
    };

  const isLarge = (): boolean => requestClass.isLarge && !shares.isOwed(requestClass);

  const buildRank = (): WaiterRank => ({ priority, isYielding: isLarge(), load: buildLoad() });

  /** Returns the share of the slots that the request leaves to others, while some are refused. */
  const getReservedShare = (): number => {
    const costsLess = requestClass.isLarge || priorities.isLessUrgent(key, priority);
    if (!costsLess || shares.isOwed(requestClass)) return 0;
    return shares.getRefusedShare(key);
  };

  const getLineMs = (capacity: TargetCapacity): number => {
    const ahead = lines.countAhead(key, { ...buildRank(), giveUpMs: getSlackEndMs() });
    return capacity.pauseMs + (ahead + 1) * getSlotEveryMs(capacity);
  };

  return {
    key,
    recordArrival() {
      if (service.engine === undefined) return;
      priorities.recordPriority(key, priority);
      options.work.recordRequest(workInput);
      shares.recordAsked(requestClass);
    },
    buildQuery(hasBegun, triedIds) {
      const query = { service, model: request.model, triedIds };
      if (service.engine === undefined || hasBegun) return query;
      const maxInFlight = computeMaxInFlight({
        slots: service.engine.slots,
        slackMs: getSlackEndMs() - timers.getMonotonicMs(),
        durationMs: serviceTimes.getDurationMs(key),
        reservedShare: getReservedShare(),
      });
      return { ...query, maxInFlight };
    },
    buildRank,
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
      const giveUpMs = getGiveUpMs();
      const { isAdmitted, displaced } = planArrival(
        lines.listWaiting(key),
        { ...buildRank(), giveUpMs },
        { nowMs: now, pauseMs: capacity.pauseMs, slotEveryMs: getSlotEveryMs(capacity) },
        shares.isOwed,
      );
      const reason = areAllLimited ? FailureReason.TargetsLimited : FailureReason.TargetsFull;
      return { reason, giveUpMs: isAdmitted ? giveUpMs : undefined, displaced };
    },
    refuseRequest(reason) {
      if (service.engine !== undefined) shares.recordRefused(requestClass);
      const capacity = computeCapacity(anyTarget);
      const cause = REFUSAL_CAUSES.get(reason) ?? RefusalCause.Full;
      const now = timers.getMonotonicMs();
      const durationMs = serviceTimes.getDurationMs(key);
      const lineMs = getLineMs(capacity);
      const random = options.random();
      const retryAfterMs =
        work !== undefined && cause === RefusalCause.Full
          ? options.returns.assignReturnMs(key, {
              nowMs: now,
              lineMs,
              slotEveryMs: getSlotEveryMs(capacity),
              durationMs,
              maxMs: Math.max(0, input.dueMs - now) * MAX_RETURN_SHARE,
              random,
            })
          : computeRetryAfterMs({ cause, durationMs, expectedWaitMs: lineMs, random });
      return Math.max(capacity.pauseMs, retryAfterMs);
    },
    recordDuration(elapsedMs) {
      serviceTimes.recordDuration(key, elapsedMs);
      options.work.recordDuration(workInput, elapsedMs);
    },
  };
}
