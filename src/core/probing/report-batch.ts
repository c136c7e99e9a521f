import { create } from '@bufbuild/protobuf';
import type { TargetReport } from '../rpc/index.ts';
import { TargetReportSchema } from '../rpc/index.ts';
import type { ObservedReport } from './prober.ts';
import { buildRefresh, hasLoadChange, hasStateChange } from './reports.ts';

/** Reports that wait to be sent to one subscriber. */
export interface ReportBatch {
  /** Adds a report; returns true when it must be sent at once. */
  addReport(observed: ObservedReport): boolean;
  /** Takes the waiting reports, with their ages at this time. */
  takeReports(nowMs: number): TargetReport[];
}

/** Creates the batch of a subscriber; a report without changes shrinks to a refresh. */
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
