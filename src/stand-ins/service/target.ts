import type { TimerService } from '../../core/timers/index.ts';
import { EnginePhase } from '../../core/domain-types/index.ts';
import type { TargetStatus } from '../../core/domain-types/index.ts';
import type { ServiceBehaviour } from './settings.ts';

/** State of one service target: its load, cold start and failures. */
export interface ServiceTargetState {
  /** Failures caused by more than `coldLimit` calls while cold. */
  countOverloads(): number;
  getStatus(): TargetStatus;
  /** Admits a call; returns false if it is refused and must not be executed. */
  startCall(): boolean;
  /** Ends an admitted call; returns false if the target failed, in which case it must not run. */
  finishCall(): boolean;
  /** Makes the target cold from now on, for `coldMs`. */
  setCold(): void;
  /** Simulates a restart: a new instance id, cold, without calls in progress. */
  reset(): void;
}

/** Creates the state of a service target, which starts cold. */
export function createServiceTarget(
  behaviour: ServiceBehaviour,
  timers: TimerService,
  createId: () => string,
): ServiceTargetState {
  let instanceId = createId();
  let coldSinceMs = timers.getMonotonicMs();
  let failedUntilMs = 0;
  let running = 0;
  let overloads = 0;
  let reportedRunning = 0;
  let reportedAtMs = timers.getMonotonicMs();

  const isFailed = (): boolean => timers.getMonotonicMs() < failedUntilMs;
  const isWarm = (): boolean => timers.getMonotonicMs() - coldSinceMs >= behaviour.coldMs;

  const setCold = (): void => {
    coldSinceMs = timers.getMonotonicMs();
  };

  return {
    countOverloads: () => overloads,
    getStatus() {
      const nowMs = timers.getMonotonicMs();
      if (nowMs - reportedAtMs >= behaviour.loadLagMs) {
        reportedRunning = running;
        reportedAtMs = nowMs;
      }
      return {
        instanceId,
        group: null,
        generation: 0,
        epoch: 0,
        rank: 0,
        phase: isFailed() ? EnginePhase.Failed : EnginePhase.Ready,
        warm: isWarm(),
        model: null,
        modelVersion: null,
        load: {
          running: reportedRunning,
          queued: 0,
          heldTokens: 0,
          capacityTokens: 0,
          coldLimit: behaviour.coldLimit,
          ageMs: Math.round(nowMs - reportedAtMs),
        },
      };
    },
    startCall() {
      if (isFailed()) return false;
      const limit = isWarm() ? behaviour.concurrentCalls : behaviour.coldLimit;
      if (running < limit) {
        running++;
        return true;
      }
      if (isWarm()) return false;
      overloads++;
      failedUntilMs = timers.getMonotonicMs() + behaviour.failedMs;
      coldSinceMs = failedUntilMs;
      return false;
    },
    finishCall() {
      running = Math.max(0, running - 1);
      return !isFailed();
    },
    setCold,
    reset() {
      instanceId = createId();
      running = 0;
      failedUntilMs = 0;
      setCold();
    },
  };
}
