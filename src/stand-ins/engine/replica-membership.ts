import { request } from 'undici';
import type { TimerService } from '../../core/timers/index.ts';
import type { EngineOrder } from '../../core/domain-types/index.ts';
import { EnginePhase } from '../../core/domain-types/index.ts';
import type { EngineBehaviour } from './settings.ts';

/** Body of `POST /members`: the report that a ready member sends to rank 0 of its replica. */
export interface MemberReport {
  group: string;
  generation: number;
  rank: number;
}

/** Settings of the membership, and access to the state of the engine member that owns it. */
export interface ReplicaMembershipOptions {
  behaviour: EngineBehaviour;
  timers: TimerService;
  getOrder: () => EngineOrder | undefined;
  getPhase: () => EnginePhase;
  isStopped: () => boolean;
  handleComplete: () => void;
  handleMemberMissing: (rank: number) => void;
}

/** Liveness tracking among the members of one replica. */
export interface ReplicaMembership {
  /** Records a report; returns false unless this member is rank 0 of that group and generation. */
  handleReport(report: MemberReport): boolean;
  /** Whether every other rank has reported since the last reset. */
  isComplete(): boolean;
  /** Discards the reports received under the previous order. */
  reset(): void;
  start(): void;
  stop(): void;
}

/**
 * Creates the membership of a replica. Ready members report to rank 0 every `memberReportMs`, and
 * rank 0 fails when one of them has not reported for `memberDeadlineMs`.
 */
export function createReplicaMembership(options: ReplicaMembershipOptions): ReplicaMembership {
  const { behaviour, timers } = options;
  const lastReportMs = new Map<number, number>();
  let cancel: (() => void) | undefined;

  const listOtherRanks = (): number[] =>
    Array.from(
      { length: Math.max(0, (options.getOrder()?.size ?? 1) - 1) },
      (_, index) => index + 1,
    );

  const isComplete = (): boolean => listOtherRanks().every((rank) => lastReportMs.has(rank));

  const sendReport = async (order: EngineOrder): Promise<void> => {
    const response = await request(`http://${order.leader}/members`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ group: order.group, generation: order.generation, rank: order.rank }),
      headersTimeout: behaviour.memberDeadlineMs,
    });
    await response.body.dump();
  };

  const checkMembers = (): void => {
    const oldestMs = timers.getMonotonicMs() - behaviour.memberDeadlineMs;
    const missing = listOtherRanks().find((rank) => (lastReportMs.get(rank) ?? 0) < oldestMs);
    if (missing !== undefined) options.handleMemberMissing(missing);
  };

  const runStep = (): void => {
    const order = options.getOrder();
    if (order === undefined || order.group === null || options.isStopped()) return;
    if (options.getPhase() !== EnginePhase.Ready) return;
    if (order.rank === 0) checkMembers();
    // The error is ignored: the probers detect a leader that does not respond.
    else if (order.leader !== null) sendReport(order).catch(() => undefined);
  };

  return {
    handleReport(report) {
      const order = options.getOrder();
      const isMember =
        order?.rank === 0 && order.group === report.group && order.generation === report.generation;
      if (!isMember) return false;
      const wasComplete = isComplete();
      lastReportMs.set(report.rank, timers.getMonotonicMs());
      if (!wasComplete && isComplete()) options.handleComplete();
      return true;
    },
    isComplete,
    reset: () => lastReportMs.clear(),
    start() {
      cancel = timers.subscribe(behaviour.memberReportMs, runStep);
    },
    stop: () => cancel?.(),
  };
}
