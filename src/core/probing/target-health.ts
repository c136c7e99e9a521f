import type { DocumentStore } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { PeerLinks } from '../rpc/index.ts';
import { TargetState } from '../rpc/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { REPORT_FLUSH_MS } from './consts.ts';
import { applyReport, applyObservation, buildAgedReport } from './health-record.ts';
import type { HealthRecord } from './health-record.ts';
import type { ProberAssignment } from './prober-assignment.ts';
import { createProberSubscriptions } from './prober-subscriptions.ts';
import type { ObservedReport, Prober } from './prober.ts';
import { listUsableVms } from './target-locations.ts';
import type { TargetHealth } from './types.ts';

/** Dependencies of the target health. */
export interface TargetHealthOptions {
  timers: TimerService;
  documents: DocumentStore;
  membership: MembershipView;
  assignment: ProberAssignment;
  prober: Prober;
  links: PeerLinks;
  recorder: EventRecorder;
  /**
   * Tells whether this daemon may receive requests of a customer. Reports are read only for the
   * targets of such customers.
   */
  mayServe: (customer: string) => boolean;
}

/** Target health that can be started and stopped. */
export interface TargetHealthTask extends TargetHealth {
  start(): void;
  stop(): void;
}

/** Creates the health tracking of the targets that this daemon may use. */
export function createTargetHealth(options: TargetHealthOptions): TargetHealthTask {
  const { timers, documents, membership, assignment, prober, recorder } = options;
  const records = new Map<string, HealthRecord>();
  const states = new Map<string, TargetState>();
  const listeners = new Set<(vm: string) => void>();
  let usableVms = new Set<string>();
  let subscriptions: Unsubscribe[] = [];

  const getReport: TargetHealth['getReport'] = (vm) => {
    const known = records.get(vm);
    return known === undefined ? undefined : buildAgedReport(known, timers.getMonotonicMs());
  };

  const publishState = (vm: string): void => {
    const state = getReport(vm)?.state ?? TargetState.UNSPECIFIED;
    if (states.get(vm) !== state) {
      states.set(vm, state);
      recorder.record('health', 'target-state', { vm, state: TargetState[state].toLowerCase() });
    }
    listeners.forEach((listener) => listener(vm));
  };

  const handleReport = (observed: ObservedReport): void => {
    const { vm } = observed.report;
    if (!usableVms.has(vm)) return;
    const before = records.get(vm);
    const after = applyReport(before, observed);
    if (after === before) return;
    records.set(vm, after);
    publishState(vm);
  };

  const watches = createProberSubscriptions({
    timers,
    membership,
    links: options.links,
    handleReport,
  });

  const updateWatches = (): void => {
    const byProber = new Map<string, string[]>();
    usableVms.forEach((vm) => {
      assignment.listProbers(vm).forEach((daemon) => {
        if (daemon === membership.self) return;
        byProber.set(daemon, [...(byProber.get(daemon) ?? []), vm]);
      });
    });
    watches.setWatches(byProber);
  };

  const removeVm = (vm: string): void => {
    records.delete(vm);
    states.delete(vm);
  };

  const updateUsable = (): void => {
    const vms = listUsableVms(documents, options.mayServe);
    const isSame = vms.length === usableVms.size && vms.every((vm) => usableVms.has(vm));
    if (isSame) return;
    usableVms = new Set(vms);
    [...records.keys()].filter((vm) => !usableVms.has(vm)).forEach(removeVm);
    prober.listReports().forEach(handleReport);
    updateWatches();
  };

  const checkExpiry = (): void => {
    records.forEach((_, vm) => {
      if (states.get(vm) !== getReport(vm)?.state) publishState(vm);
    });
  };

  return {
    getReport,
    handleObservation(observation) {
      const before = records.get(observation.vm);
      if (before === undefined) return;
      records.set(observation.vm, applyObservation(before, observation, timers.getMonotonicMs()));
      publishState(observation.vm);
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    start() {
      subscriptions = [
        documents.subscribe(updateUsable),
        // Both the customers that this daemon serves and the probers depend on the membership.
        membership.subscribe(() => {
          updateUsable();
          updateWatches();
        }),
        prober.subscribe(handleReport),
        timers.subscribe(REPORT_FLUSH_MS, checkExpiry),
      ];
      updateUsable();
    },
    stop() {
      subscriptions.forEach((cancel) => cancel());
      watches.close();
    },
  };
}
