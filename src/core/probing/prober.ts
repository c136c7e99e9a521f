import type { DocumentStore } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { DocumentVersion, TargetReport } from '../rpc/index.ts';
import { DocumentKind, TargetState } from '../rpc/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { PROBE_PERIOD_MS } from './consts.ts';
import type { ProberAssignment } from './prober-assignment.ts';
import { buildReport, buildUnreachableReport, hasStateChange } from './reports.ts';
import type { QueryStatus } from './status-query.ts';
import { getLocationSource, listLocationSources } from './target-locations.ts';
import type { LocationSource, TargetLocation } from './target-locations.ts';

/** A report with the time of its status query, on the monotonic clock of this daemon. */
export interface ObservedReport {
  report: TargetReport;
  observedMs: number;
}

/** Dependencies of the prober. */
export interface ProberOptions {
  timers: TimerService;
  documents: DocumentStore;
  membership: MembershipView;
  assignment: ProberAssignment;
  queryStatus: QueryStatus;
  recorder: EventRecorder;
}

/** Probes the targets that are assigned to this daemon. */
export interface Prober {
  /** Returns the latest report of this prober about a VM; its `ageMs` is not set. */
  findReport(vm: string): ObservedReport | undefined;
  listReports(): ObservedReport[];
  /** Calls the listener after each status query, whether it succeeded or failed. */
  subscribe(listener: (observed: ObservedReport) => void): Unsubscribe;
  start(): void;
  stop(): void;
}

interface ProbeTask {
  location: TargetLocation;
  /** Fabric domain whose allocation lists the target; undefined for a plain service. */
  fabricDomain: string | undefined;
  cancel: Unsubscribe;
  isProbing: boolean;
}

/** Creates the prober, which sends a status query to each assigned target once per second. */
export function createProber(options: ProberOptions): Prober {
  const { timers, documents, membership, assignment, recorder } = options;
  const tasks = new Map<string, ProbeTask>();
  const reports = new Map<string, ObservedReport>();
  const listeners = new Set<(observed: ObservedReport) => void>();
  let subscriptions: Unsubscribe[] = [];

  const recordChange = (before: TargetReport | undefined, after: TargetReport): void => {
    if (before !== undefined && !hasStateChange(before, after)) return;
    const isRestart =
      before !== undefined &&
      before.instanceId !== '' &&
      after.instanceId !== '' &&
      before.instanceId !== after.instanceId;
    if (isRestart) recorder.record('prober', 'target-restarted', { vm: after.vm });
    if (before?.state === after.state) return;
    const state = TargetState[after.state].toLowerCase();
    recorder.record('prober', 'target-state', { vm: after.vm, state });
  };

  const handleResult = (task: ProbeTask, observed: ObservedReport): void => {
    const { vm } = observed.report;
    // The assignment may have changed while the query was in flight.
    if (tasks.get(vm) !== task) return;
    recordChange(reports.get(vm)?.report, observed.report);
    reports.set(vm, observed);
    listeners.forEach((listener) => listener(observed));
  };

  const runProbe = async (task: ProbeTask): Promise<void> => {
    if (task.isProbing) return;
    task.isProbing = true;
    const observedMs = timers.getMonotonicMs();
    // Read before the query, because the report states that the query is newer than this version.
    const { vm, allocationVersion } = task.location;
    const context = { vm, prober: membership.self, allocationVersion };
    const report = await options
      .queryStatus(task.location)
      .then((status) => buildReport(context, status))
      .catch(() => buildUnreachableReport(context));
    task.isProbing = false;
    handleResult(task, { report, observedMs });
  };

  const startTask = (fabricDomain: string | undefined, targetLocation: TargetLocation): void => {
    const task: ProbeTask = {
      location: targetLocation,
      fabricDomain,
      cancel: () => {},
      isProbing: false,
    };
    tasks.set(targetLocation.vm, task);
    task.cancel = timers.subscribe(PROBE_PERIOD_MS, () => {
      void runProbe(task);
    });
    void runProbe(task);
  };

  const stopTask = (vm: string): void => {
    tasks.get(vm)?.cancel();
    tasks.delete(vm);
    reports.delete(vm);
  };

  const updateTask = (fabricDomain: string | undefined, targetLocation: TargetLocation): void => {
    const task = tasks.get(targetLocation.vm);
    const isAssigned = assignment.listProbers(targetLocation.vm).includes(membership.self);
    if (task === undefined && isAssigned) startTask(fabricDomain, targetLocation);
    else if (task !== undefined && !isAssigned) stopTask(targetLocation.vm);
    else if (task !== undefined) Object.assign(task, { location: targetLocation, fabricDomain });
  };

  const updateSource = ({ fabricDomain, locations }: LocationSource): void => {
    const vms = new Set(locations.map(({ vm }) => vm));
    [...tasks.values()]
      .filter((task) => task.fabricDomain === fabricDomain && !vms.has(task.location.vm))
      .forEach((task) => stopTask(task.location.vm));
    locations.forEach((targetLocation) => updateTask(fabricDomain, targetLocation));
  };

  const handleDocument = ({ kind, name }: DocumentVersion): void => {
    updateSource(getLocationSource(documents, kind === DocumentKind.ALLOCATION ? name : undefined));
  };

  const updateAll = (): void => {
    const sources = listLocationSources(documents);
    const vms = new Set(sources.flatMap(({ locations }) => locations.map(({ vm }) => vm)));
    assignment.retainTargets(vms);
    [...tasks.keys()].filter((vm) => !vms.has(vm)).forEach(stopTask);
    sources.forEach(updateSource);
  };

  return {
    findReport: (vm) => reports.get(vm),
    listReports: () => [...reports.values()],
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    start() {
      subscriptions = [documents.subscribe(handleDocument), membership.subscribe(updateAll)];
      updateAll();
    },
    stop() {
      subscriptions.forEach((cancel) => cancel());
      [...tasks.keys()].forEach(stopTask);
    },
  };
}
