import { create } from '@bufbuild/protobuf';
import type { TargetReport } from '../rpc/index.ts';
import { TargetLoadSchema, TargetReportSchema, TargetState } from '../rpc/index.ts';
import { EnginePhase } from '../domain-types/index.ts';
import type { TargetLoad, TargetStatus } from '../domain-types/index.ts';
import { LOAD_CHANGE_FRACTION } from './consts.ts';

const STATE_BY_PHASE: Readonly<Record<EnginePhase, TargetState>> = {
  [EnginePhase.Empty]: TargetState.EMPTY,
  [EnginePhase.Loading]: TargetState.LOADING,
  [EnginePhase.Ready]: TargetState.WARM,
  [EnginePhase.Failed]: TargetState.FAILED,
};

/** The target of a status query, its prober and the allocation version read before the query. */
export interface QueryContext {
  vm: string;
  prober: string;
  allocationVersion: number;
}

/** Tells whether a target can accept requests. */
export function isReady(report: TargetReport | undefined): report is TargetReport {
  return report?.state === TargetState.WARM || report?.state === TargetState.COLD;
}

/** Converts the load of a status response to its protobuf message. */
export function toReportLoad(load: TargetLoad): TargetReport['load'] {
  return create(TargetLoadSchema, {
    running: Math.round(load.running),
    queued: Math.round(load.queued),
    heldTokens: BigInt(Math.round(load.heldTokens)),
    capacityTokens: BigInt(Math.round(load.capacityTokens)),
    coldLimit: Math.round(load.coldLimit),
    ageMs: Math.round(load.ageMs),
  });
}

/** Converts the load of a report from its protobuf message; missing values become 0. */
export function toTargetLoad(load: TargetReport['load']): TargetLoad {
  return {
    running: load?.running ?? 0,
    queued: load?.queued ?? 0,
    heldTokens: Number(load?.heldTokens ?? 0n),
    capacityTokens: Number(load?.capacityTokens ?? 0n),
    coldLimit: load?.coldLimit ?? 0,
    ageMs: load?.ageMs ?? 0,
  };
}

/** Builds the report of a successful status query. */
export function buildReport(context: QueryContext, status: TargetStatus): TargetReport {
  const isCold = status.phase === EnginePhase.Ready && !status.warm;
  return create(TargetReportSchema, {
    vm: context.vm,
    state: isCold ? TargetState.COLD : STATE_BY_PHASE[status.phase],
    instanceId: status.instanceId,
    group: status.group ?? '',
    generation: BigInt(status.generation),
    epoch: BigInt(status.epoch),
    rank: status.rank,
    load: toReportLoad(status.load),
    allocationVersion: BigInt(context.allocationVersion),
    prober: context.prober,
    model: status.model ?? '',
    modelVersion: status.modelVersion ?? '',
  });
}

/** Builds the report of a failed status query. */
export function buildUnreachableReport(context: QueryContext): TargetReport {
  return create(TargetReportSchema, {
    vm: context.vm,
    state: TargetState.UNREACHABLE,
    allocationVersion: BigInt(context.allocationVersion),
    prober: context.prober,
  });
}

/** Tells whether two reports differ in a field other than load and age. */
export function hasStateChange(left: TargetReport, right: TargetReport): boolean {
  return (
    left.state !== right.state ||
    left.instanceId !== right.instanceId ||
    left.group !== right.group ||
    left.generation !== right.generation ||
    left.epoch !== right.epoch ||
    left.rank !== right.rank ||
    left.allocationVersion !== right.allocationVersion ||
    left.model !== right.model ||
    left.modelVersion !== right.modelVersion ||
    left.load?.coldLimit !== right.load?.coldLimit
  );
}

function hasValueChange(left: number, right: number): boolean {
  return Math.abs(left - right) > LOAD_CHANGE_FRACTION * Math.max(left, right);
}

/** Tells whether a load value changed by more than a tenth. */
export function hasLoadChange(left: TargetReport, right: TargetReport): boolean {
  const before = toTargetLoad(left.load);
  const after = toTargetLoad(right.load);
  return (
    hasValueChange(before.running, after.running) ||
    hasValueChange(before.queued, after.queued) ||
    hasValueChange(before.heldTokens, after.heldTokens) ||
    hasValueChange(before.capacityTokens, after.capacityTokens)
  );
}

/** Builds a refresh, which states that nothing changed. It holds only the VM, state and age. */
export function buildRefresh(report: TargetReport): TargetReport {
  const { vm, state } = report;
  return create(TargetReportSchema, { vm, state });
}

/** Tells whether a report is a refresh of the last full report. */
export function isRefresh(report: TargetReport): boolean {
  return report.state !== TargetState.UNREACHABLE && report.instanceId === '';
}
