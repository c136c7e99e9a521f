import { create } from '@bufbuild/protobuf';
import type { MembershipView } from '../membership/index.ts';
import type { PeerLinks, TargetReport } from '../rpc/index.ts';
import { WatchTargetsRequestSchema } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { WATCH_GAP_MS, WATCH_RETRY_MS } from './consts.ts';
import type { ObservedReport } from './prober.ts';
import { isRefresh } from './reports.ts';

/** Dependencies of the subscriptions. */
export interface ProberSubscriptionOptions {
  timers: TimerService;
  membership: MembershipView;
  links: PeerLinks;
  handleReport: (observed: ObservedReport) => void;
}

/** Subscriptions to the report streams of probers on other daemons. */
export interface ProberSubscriptions {
  /** Sets the VMs to watch at each daemon. Streams with unchanged VMs stay open. */
  setWatches(watches: ReadonlyMap<string, readonly string[]>): void;
  close(): void;
}

interface WatchTask {
  key: string;
  abort: AbortController;
}

/** Creates the subscriptions: one stream to each prober, reopened when it breaks. */
export function createProberSubscriptions(options: ProberSubscriptionOptions): ProberSubscriptions {
  const { timers, membership, links, handleReport } = options;
  const tasks = new Map<string, WatchTask>();

  const readStream = async (
    daemon: string,
    vms: readonly string[],
    signal: AbortSignal,
  ): Promise<void> => {
    const member = membership.findMember(daemon);
    if (member === undefined) return;
    const client = links.getClient(member.address, member.peerPort);
    const request = create(WatchTargetsRequestSchema, { daemon: membership.self, vms: [...vms] });
    const fullReports = new Map<string, TargetReport>();
    let lastReceivedMs = timers.getMonotonicMs();
    for await (const { reports } of client.watchTargets(request, { signal })) {
      const nowMs = timers.getMonotonicMs();
      // The message may have waited in a socket buffer, in which case its ages are too small.
      if (nowMs - lastReceivedMs > WATCH_GAP_MS) return;
      lastReceivedMs = nowMs;
      reports.forEach((report) => {
        const full = isRefresh(report) ? fullReports.get(report.vm) : report;
        // A refresh carries no information without a full report before it.
        if (full === undefined) return;
        fullReports.set(report.vm, full);
        handleReport({ report: full, observedMs: nowMs - report.ageMs });
      });
    }
  };

  const runTask = async (
    daemon: string,
    vms: readonly string[],
    task: WatchTask,
  ): Promise<void> => {
    const { signal } = task.abort;
    while (!signal.aborted) {
      // Errors are ignored: a broken stream shows in the growing age of its reports.
      await readStream(daemon, vms, signal).catch(() => undefined);
      await timers.waitFor(WATCH_RETRY_MS, signal);
    }
  };

  const stopTask = (daemon: string): void => {
    tasks.get(daemon)?.abort.abort();
    tasks.delete(daemon);
  };

  return {
    setWatches(watches) {
      [...tasks.keys()].filter((daemon) => !watches.has(daemon)).forEach(stopTask);
      watches.forEach((vms, daemon) => {
        const instance = membership.findMember(daemon)?.instance ?? 0n;
        const key = `${instance}/${vms.join(',')}`;
        if (tasks.get(daemon)?.key === key) return;
        stopTask(daemon);
        const task = { key, abort: new AbortController() };
        tasks.set(daemon, task);
        void runTask(daemon, vms, task);
      });
    },
    close: () => [...tasks.keys()].forEach(stopTask),
  };
}
