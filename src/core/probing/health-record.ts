import type { TargetReport } from '../rpc/index.ts';
import { TargetState } from '../rpc/index.ts';
import { REPORT_EXPIRY_MS } from './consts.ts';
import type { ObservedReport } from './prober.ts';
import { isReady, toReportLoad } from './reports.ts';
import type { TargetObservation } from './types.ts';

/** Health record of one target: the latest report and the time of the last successful probe. */
export interface HealthRecord {
  report: TargetReport;
  /** Monotonic time of the probe or the request observation that last updated the report. */
  observedMs: number;
  /** Monotonic time of the latest successful probe, that is, one with a valid response. */
  answeredMs: number;
}

/** Applies a probe report to the record. Returns the same record when the report is older. */
export function applyReport(
  before: HealthRecord | undefined,
  observed: ObservedReport,
): HealthRecord {
  const { report, observedMs } = observed;
  if (before !== undefined && observedMs < before.observedMs) return before;
  const isAnswered = report.state !== TargetState.UNREACHABLE;
  const answeredMs = isAnswered ? observedMs : (before?.answeredMs ?? -Infinity);
  return { report, observedMs, answeredMs };
}

function computeObservedState(report: TargetReport, observation: TargetObservation): TargetState {
  if (observation.failed === true) return TargetState.UNREACHABLE;
  const { state } = report;
  if (!isReady(report)) return state;
  if (observation.warm !== undefined) return observation.warm ? TargetState.WARM : TargetState.COLD;
  const isRestarted =
    observation.instanceId !== undefined && observation.instanceId !== report.instanceId;
  return isRestarted ? TargetState.COLD : state;
}

/** Applies a request observation. Group and generation are taken from probes only. */
export function applyObservation(
  before: HealthRecord,
  observation: TargetObservation,
  nowMs: number,
): HealthRecord {
  const { report } = before;
  const changed: TargetReport = {
    ...report,
    state: computeObservedState(report, observation),
    instanceId: observation.instanceId ?? report.instanceId,
    ...(observation.load === undefined ? {} : { load: toReportLoad(observation.load) }),
  };
  return { report: changed, observedMs: nowMs, answeredMs: before.answeredMs };
}

/** Returns the report with its age; its state is unreachable when no probe succeeded recently. */
export function buildAgedReport(record: HealthRecord, nowMs: number): TargetReport {
  const { report, observedMs, answeredMs } = record;
  const isExpired = nowMs - answeredMs > REPORT_EXPIRY_MS;
  return {
    ...report,
    state: isExpired ? TargetState.UNREACHABLE : report.state,
    ageMs: Math.max(0, Math.round(nowMs - observedMs)),
  };
}
