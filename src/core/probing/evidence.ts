import type { TargetReport } from '../rpc/index.ts';
import { TargetState } from '../rpc/index.ts';
import { REPORT_EXPIRY_MS } from './consts.ts';
import type { ObservedReport } from './prober.ts';
import { isReady, toReportLoad } from './reports.ts';
import type { TargetSign } from './types.ts';

/** Health record of one target: the latest report and the time of the last successful probe. */
export interface Evidence {
  report: TargetReport;
  /** Monotonic time of the probe or the request observation that last updated the report. */
  observedMs: number;
  /** Monotonic time of the latest successful probe. */
  answeredMs: number;
}

/** Applies a probe report to the record. Returns the same record when the report is older. */
export function applyReport(before: Evidence | undefined, observed: ObservedReport): Evidence {
  const { report, observedMs } = observed;
  if (before !== undefined && observedMs < before.observedMs) return before;
  const isAnswered = report.state !== TargetState.UNREACHABLE;
  const answeredMs = isAnswered ? observedMs : (before?.answeredMs ?? -Infinity);
  return { report, observedMs, answeredMs };
}

function getSignState(report: TargetReport, sign: TargetSign): TargetState {
  if (sign.failed === true) return TargetState.UNREACHABLE;
  const { state } = report;
  if (!isReady(report)) return state;
  if (sign.warm !== undefined) return sign.warm ? TargetState.WARM : TargetState.COLD;
  const isRestarted = sign.instanceId !== undefined && sign.instanceId !== report.instanceId;
  return isRestarted ? TargetState.COLD : state;
}

/** Applies a request observation. Group and generation are taken from probes only. */
export function applySign(before: Evidence, sign: TargetSign, nowMs: number): Evidence {
  const { report } = before;
  const changed: TargetReport = {
    ...report,
    state: getSignState(report, sign),
    instanceId: sign.instanceId ?? report.instanceId,
    ...(sign.load === undefined ? {} : { load: toReportLoad(sign.load) }),
  };
  return { report: changed, observedMs: nowMs, answeredMs: before.answeredMs };
}

/** Returns the report with its age; its state is unreachable when no probe succeeded recently. */
export function buildAgedReport(evidence: Evidence, nowMs: number): TargetReport {
  const { report, observedMs, answeredMs } = evidence;
  const isExpired = nowMs - answeredMs > REPORT_EXPIRY_MS;
  return {
    ...report,
    state: isExpired ? TargetState.UNREACHABLE : report.state,
    ageMs: Math.max(0, Math.round(nowMs - observedMs)),
  };
}
