import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** A request in progress at a target that the monitor watches. */
export interface MonitoredRequest {
  /** Called if the target has been silent for too long; repeated while it remains silent. */
  handleSilence(): void;
}

/** Reports the progress of one request to the monitor. */
export interface RequestHandle {
  /** Records that the response has advanced; the target is then no longer suspect. */
  recordData(): void;
  /**
   * Records whether this gateway has stopped reading the response, because the caller reads slowly.
   * The target is not silent meanwhile.
   */
  setPaused(isPaused: boolean): void;
  /** Records the end of the request; `isFailure` tells whether the target failed it. */
  recordEnd(isFailure: boolean): void;
}

/** Number of requests in progress at a target, as counted by one gateway or summed over several. */
export interface TargetLoad {
  targetId: string;
  inFlight: number;
}

/** Tracks load, failures and silence of targets, as seen by this gateway and the others. */
export interface TargetMonitor {
  /** Sets the listener for targets that this gateway newly marks as suspect; there is only one. */
  onSuspect(listener: SuspectListener): void;
  /** Starts to track a request, which counts as in progress until the handle records its end. */
  startRequest(targetId: string, request: MonitoredRequest): RequestHandle;
  /** Marks a target as suspect because it refuses connections or is silent. */
  markSuspect(targetId: string, reason: string): void;
  /**
   * Marks a target as suspect because another gateway reported it, unless this gateway has recently
   * received data from it.
   */
  markSuspectByOtherGateway(targetId: string): void;
  /** Whether a target is currently marked as suspect, by this gateway or by another. */
  isSuspect(targetId: string): boolean;
  /** Returns the targets that this gateway itself found suspect. */
  listSuspects(): string[];
  /** Replaces the requests in progress at all other gateways, summed by target. */
  setOtherGatewayLoads(loads: readonly TargetLoad[]): void;
  /** Whether another gateway has requests in progress at a target. */
  hasRequestsOfOtherGateways(targetId: string): boolean;
  /** Returns the number of requests in progress at a target, summed over all gateways. */
  countInFlight(targetId: string): number;
  /** Returns the number of requests in progress at a target that this gateway has sent. */
  countLocalInFlight(targetId: string): number;
  /** Returns the requests in progress that this gateway has sent, for each target with some. */
  listLocalLoads(): TargetLoad[];
  /** Returns the share of recent requests that the target failed, from 0 to 1. */
  getFailureShare(targetId: string): number;
  stop(): void;
}

/** Dependencies of the monitor. */
export interface TargetMonitorOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>;
}

/** Called when this gateway finds a target silent or unreachable. */
export type SuspectListener = (targetId: string, reason: string) => void;

/** Interval between checks for silence. */
export const SILENCE_CHECK_PERIOD_MS = 20;
/**
 * A target with a started stream is silent if no data arrives for this long. An open group sends an
 * event to each of its streams every 25 to 80 ms, 180 ms at p99.9, and later while it processes
 * prompts. Limits of 130 ms and 200 ms move streams away from groups that are only busy.
 */
export const STREAM_SILENCE_MS = 300;
/**
 * A target without a started stream is silent if no data arrives for this long. The first event
 * takes up to 260 ms at p95, and much longer when it waits for the prompts of a burst.
 */
export const FIRST_EVENT_SILENCE_MS = 900;
/**
 * A single started stream that does not advance for this long is reported as silent although others
 * at its target advance. Callers leave after a pause of 2 s.
 */
export const STALLED_STREAM_MS = 1_500;
/** A check that runs more than this much late shows that this gateway's process was paused. */
const LATE_CHECK_MS = 60;
/** A suspect target gets no requests for this long, unless all others are suspect too. */
const SUSPECT_MS = 1_500;
/**
 * If more than this share of the targets in use is silent at once, and at least
 * `MASS_SILENCE_MIN_TARGETS` targets are, the fault is assumed to be on this gateway's side.
 */
const MASS_SILENCE_SHARE = 0.6;
const MASS_SILENCE_MIN_TARGETS = 4;
/** Records of targets are kept for this long after their last request. */
const RECORD_TTL_MS = 60_000;
const RECORD_CHECK_PERIOD_MS = 10_000;
/** Weight of the newest result in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;

interface TrackedRequest extends MonitoredRequest {
  startedMs: number;
  hasData: boolean;
  /** When the response advanced last, or when this gateway went on reading it. */
  advancedMs: number;
  isPaused: boolean;
}

interface TargetRecord {
  requests: Set<TrackedRequest>;
  /** When the record was last asked for. */
  usedMs: number;
  lastDataMs: number;
  suspectUntilMs: number;
  isLocalSuspicion: boolean;
  failureShare: number;
}

/** Creates a target monitor; it checks for silence until it is stopped. */
export function createTargetMonitor(options: TargetMonitorOptions): TargetMonitor {
  const { timers } = options;
  let handleSuspect: SuspectListener = () => undefined;
  const records = new Map<string, TargetRecord>();
  let otherGatewayLoads: ReadonlyMap<string, number> = new Map();
  let lastCheckMs = timers.getMonotonicMs();
  let silenceChecksResumeMs = 0;

  const getRecord = (targetId: string): TargetRecord => {
    const known = records.get(targetId);
    if (known !== undefined) {
      known.usedMs = timers.getMonotonicMs();
      return known;
    }
    const created: TargetRecord = {
      requests: new Set(),
      usedMs: timers.getMonotonicMs(),
      lastDataMs: 0,
      suspectUntilMs: 0,
      isLocalSuspicion: false,
      failureShare: 0,
    };
    records.set(targetId, created);
    return created;
  };

  const isSilent = (record: TargetRecord, now: number): boolean => {
    let oldestWaitMs = 0;
    let hasReceivedData = false;
    for (const request of record.requests) {
      if (request.isPaused) continue;
      hasReceivedData ||= request.hasData;
      const sinceMs = Math.max(request.startedMs, request.advancedMs, record.lastDataMs);
      oldestWaitMs = Math.max(oldestWaitMs, now - sinceMs);
    }
    return oldestWaitMs > (hasReceivedData ? STREAM_SILENCE_MS : FIRST_EVENT_SILENCE_MS);
  };

  const reportSilence = (targetId: string, record: TargetRecord, now: number): void => {
    const isNew = record.suspectUntilMs <= now || !record.isLocalSuspicion;
    record.suspectUntilMs = now + SUSPECT_MS;
    record.isLocalSuspicion = true;
    if (isNew) handleSuspect(targetId, 'silent');
    const requests = [...record.requests];
    requests.forEach((request) => request.handleSilence());
  };

  const isStalled = (request: TrackedRequest, now: number): boolean =>
    request.hasData && !request.isPaused && now - request.advancedMs > STALLED_STREAM_MS;

  const checkSilence = (): void => {
    const now = timers.getMonotonicMs();
    const lateMs = now - lastCheckMs - SILENCE_CHECK_PERIOD_MS;
    lastCheckMs = now;
    // After a pause of this gateway's process, data that arrived during the pause is read first.
    if (lateMs > LATE_CHECK_MS) silenceChecksResumeMs = now + STREAM_SILENCE_MS;
    if (now < silenceChecksResumeMs) return;
    const busy = [...records].filter(([, record]) => record.requests.size > 0);
    const silent = busy.filter(([, record]) => isSilent(record, now));
    const isLocalFault =
      silent.length >= MASS_SILENCE_MIN_TARGETS && silent.length > busy.length * MASS_SILENCE_SHARE;
    if (isLocalFault) return;
    silent.forEach(([targetId, record]) => reportSilence(targetId, record, now));
    const stalled = busy.flatMap(([, { requests }]) =>
      [...requests].filter((request) => isStalled(request, now)),
    );
    stalled.forEach((request) => request.handleSilence());
  };

  /** Removes the records of targets that have not been used for a while; most are gone. */
  const removeOldRecords = (): void => {
    const oldestMs = timers.getMonotonicMs() - RECORD_TTL_MS;
    for (const [targetId, { requests, usedMs }] of records) {
      if (requests.size === 0 && usedMs < oldestMs) records.delete(targetId);
    }
  };

  const stopChecks: Unsubscribe = timers.subscribe(SILENCE_CHECK_PERIOD_MS, checkSilence);
  const stopRemoval: Unsubscribe = timers.subscribe(RECORD_CHECK_PERIOD_MS, removeOldRecords);

  return {
    onSuspect(listener) {
      handleSuspect = listener;
    },
    startRequest(targetId, request) {
      const record = getRecord(targetId);
      const startedMs = timers.getMonotonicMs();
      const trackedRequest: TrackedRequest = {
        startedMs,
        hasData: false,
        advancedMs: startedMs,
        isPaused: false,
        handleSilence: () => request.handleSilence(),
      };
      record.requests.add(trackedRequest);
      return {
        recordData() {
          trackedRequest.hasData = true;
          trackedRequest.advancedMs = timers.getMonotonicMs();
          record.lastDataMs = trackedRequest.advancedMs;
          record.suspectUntilMs = 0;
        },
        setPaused(isPaused) {
          trackedRequest.isPaused = isPaused;
          trackedRequest.advancedMs = timers.getMonotonicMs();
        },
        recordEnd(isFailure) {
          if (!record.requests.delete(trackedRequest)) return;
          const result = isFailure ? 1 : 0;
          record.failureShare += FAILURE_WEIGHT * (result - record.failureShare);
        },
      };
    },
    markSuspect(targetId, reason) {
      const record = getRecord(targetId);
      const now = timers.getMonotonicMs();
      const isNew = record.suspectUntilMs <= now || !record.isLocalSuspicion;
      record.suspectUntilMs = now + SUSPECT_MS;
      record.isLocalSuspicion = true;
      if (isNew) handleSuspect(targetId, reason);
    },
    markSuspectByOtherGateway(targetId) {
      const record = getRecord(targetId);
      const now = timers.getMonotonicMs();
      // Data that this gateway received itself outweighs the report of another gateway.
      if (now - record.lastDataMs < STREAM_SILENCE_MS || record.suspectUntilMs > now) return;
      record.suspectUntilMs = now + SUSPECT_MS;
      record.isLocalSuspicion = false;
    },
    isSuspect: (targetId) => (records.get(targetId)?.suspectUntilMs ?? 0) > timers.getMonotonicMs(),
    listSuspects() {
      const now = timers.getMonotonicMs();
      return [...records]
        .filter(([, record]) => record.suspectUntilMs > now && record.isLocalSuspicion)
        .map(([targetId]) => targetId);
    },
    setOtherGatewayLoads(loads) {
      otherGatewayLoads = new Map(loads.map(({ targetId, inFlight }) => [targetId, inFlight]));
    },
    hasRequestsOfOtherGateways: (targetId) => (otherGatewayLoads.get(targetId) ?? 0) > 0,
    countInFlight: (targetId) =>
      (records.get(targetId)?.requests.size ?? 0) + (otherGatewayLoads.get(targetId) ?? 0),
    countLocalInFlight: (targetId) => records.get(targetId)?.requests.size ?? 0,
    listLocalLoads: () =>
      [...records]
        .filter(([, record]) => record.requests.size > 0)
        .map(([targetId, record]) => ({ targetId, inFlight: record.requests.size })),
    getFailureShare: (targetId) => records.get(targetId)?.failureShare ?? 0,
    stop() {
      stopChecks();
      stopRemoval();
    },
  };
}
