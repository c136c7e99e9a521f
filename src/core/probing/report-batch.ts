import { create } from '@bufbuild/protobuf';
import type { TargetReport } from '../rpc/index.ts';
import { TargetReportSchema } from '../rpc/index.ts';
import type { ObservedReport } from './prober.ts';
import { buildRefresh, hasLoadChange, hasStateChange } from './reports.ts';

/** Collects the reports that are to be sent to one subscriber. */
export interface ReportBatch {
  /** Adds a report. Returns true when it must be sent immediately. */
  addReport(observed: ObservedReport): boolean;
  /** Removes and returns the collected reports, with their ages at the given time. */
  takeReports(nowMs: number): TargetReport[];
}

/** Creates the batch of a subscriber. An unchanged report is reduced to a refresh. */
export function createReportBatch(): ReportBatch {
  const sent = new Map<string, TargetReport>();
  const waiting = new Map<string, ObservedReport>();

  const buildMessage = ({ report, observedMs }: ObservedReport, nowMs: number): TargetReport => {
    const before = sent.get(report.vm);
    const ageMs = Math.max(0, Math.round(nowMs - observedMs));
    const isUnchanged =
      before !== undefined && !hasStateChange(before, report) && !hasLoadChange(before, report);
    if (isUnchanged) return { ...buildRefresh(report), ageMs };
    sent.set(report.vm, report);
    return create(TargetReportSchema, { ...report, ageMs });
  };

  return {
    addReport(observed) {
      const { report } = observed;
      waiting.set(report.vm, observed);
      const before = sent.get(report.vm);
      return before === undefined || hasStateChange(before, report);
    },
    takeReports(nowMs) {
      const reports = [...waiting.values()].map((observed) => buildMessage(observed, nowMs));
      waiting.clear();
      return reports;
    },
  };
}
