import { create } from '@bufbuild/protobuf';
import type { TargetReports, WatchTargetsRequest } from '../rpc/index.ts';
import { TargetReportsSchema } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { REPORT_FLUSH_MS } from './consts.ts';
import type { Prober } from './prober.ts';
import { createReportBatch } from './report-batch.ts';

/** The part of the RPC context that the handler uses. */
export interface WatchContext {
  signal: AbortSignal;
}

/** Handler of the `WatchTargets` RPC, a stream of reports. */
export type WatchTargetsHandler = (
  request: WatchTargetsRequest,
  context: WatchContext,
) => AsyncIterable<TargetReports>;

/** Creates the handler. State changes are sent immediately, load and refreshes every 500 ms. */
export function createWatchTargetsHandler(
  prober: Prober,
  timers: TimerService,
): WatchTargetsHandler {
  return async function* watchTargets(request, { signal }) {
    const vms = new Set(request.vms);
    const batch = createReportBatch();
    let resolveWait: (() => void) | undefined;
    let isDue = true;
    const flush = (): void => {
      isDue = true;
      resolveWait?.();
    };
    const waitUntilDue = (): Promise<void> =>
      new Promise((resolve) => {
        resolveWait = resolve;
        if (isDue) resolve();
      });

    const cancelReports = prober.subscribe((observed) => {
      if (vms.has(observed.report.vm) && batch.addReport(observed)) flush();
    });
    const cancelFlush = timers.subscribe(REPORT_FLUSH_MS, flush);
    signal.addEventListener('abort', flush);
    prober
      .listReports()
      .filter(({ report }) => vms.has(report.vm))
      .forEach((observed) => batch.addReport(observed));
    try {
      while (!signal.aborted) {
        isDue = false;
        const reports = batch.takeReports(timers.getMonotonicMs());
        if (reports.length > 0) yield create(TargetReportsSchema, { reports });
        await waitUntilDue();
      }
    } finally {
      cancelReports();
      cancelFlush();
      signal.removeEventListener('abort', flush);
    }
  };
}
