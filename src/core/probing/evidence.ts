import type { TargetReport } from '../rpc/index.ts';
import { TargetState } from '../rpc/index.ts';
import { REPORT_EXPIRY_MS } from './consts.ts';
import type { ObservedReport } from './prober.ts';
import { isReady, toReportLoad } from './reports.ts';
import type { TargetSign } from './types.ts';

/** What is known of one target: the newest evidence, and when the target last answered. */
export interface Evidence {
  report: TargetReport;
  /** Time of the query or the sign that the report comes from. */
  observedMs: number;
  /** Time of the newest query that was answered. */
  answeredMs: number;
}

/** Merges a report into the evidence; an older report changes nothing. */
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

/** Merges what the request path saw; group and generation come from probes only. */
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

/** Returns the report with its age; a target without a recent answered probe is unreachable. */
export function buildAgedReport(evidence: Evidence, nowMs: number): TargetReport {
  const { report, observedMs, answeredMs } = evidence;
  const isExpired = nowMs - answeredMs > REPORT_EXPIRY_MS;
  return {
    ...report,
    state: isExpired ? TargetState.UNREACHABLE : report.state,
    ageMs: Math.max(0, Math.round(nowMs - observedMs)),
  };
}
