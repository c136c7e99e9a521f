import type { VmAllocation } from '../allocation/index.ts';
import { GroupState } from '../allocation/index.ts';
import type { Configuration, Route, Service, ServiceTarget } from '../declarations/index.ts';
import type { DocumentStore } from '../documents/index.ts';
import type { TargetReport } from '../rpc/index.ts';
import { TargetState } from '../rpc/index.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';
import { createGroupVersions } from './group-versions.ts';
import type { VersionedGroup } from './group-versions.ts';
import { isReady, toTargetLoad } from './reports.ts';
import type { RoutableTarget, TargetDirectory, TargetHealth } from './types.ts';

const DEFAULT_WEIGHT = 1;

/** Dependencies of the target directory. */
export interface TargetDirectoryOptions {
  documents: DocumentStore;
  health: Pick<TargetHealth, 'getReport'>;
  /** Returns the number of daemons in a customer's entry set, which share its targets' memory. */
  countSharingDaemons: (customer: string) => number;
}

function findRoute(
  configuration: Configuration | undefined,
  customer: string,
  name: string,
): Route | undefined {
  return configuration?.routes.find((route) => route.customer === customer && route.name === name);
}

function isZoneOut(configuration: Configuration, availabilityZone: string): boolean {
  return configuration.availabilityZones.some(
    ({ name, state }) => name === availabilityZone && state === AvailabilityZoneState.Out,
  );
}

/** Returns a group's weight. If the route has any weight rows, a group without one gets 0. */
function getWeight(configuration: Configuration, route: Route, servingGroup: string): number {
  const rows = configuration.weights.filter(
    (row) => row.customer === route.customer && row.route === route.name,
  );
  if (rows.length === 0) return DEFAULT_WEIGHT;
  return rows.find((row) => row.servingGroup === servingGroup)?.weight ?? 0;
}

/**
 * Tells whether a member is ready and reported the expected group, generation and rank, from a
 * query sent after the prober had read an allocation with the group in its current form.
 */
function isMemberReady(
  { group, sinceVersion }: VersionedGroup,
  rank: number,
  report: TargetReport | undefined,
): report is TargetReport {
  return (
    isReady(report) &&
    report.group === group.name &&
    report.generation === BigInt(group.generation) &&
    report.rank === rank &&
    report.allocationVersion >= BigInt(sinceVersion)
  );
}

/** Creates the directory of targets that may receive new requests. */
export function createTargetDirectory(options: TargetDirectoryOptions): TargetDirectory {
  const { documents, health } = options;
  const groupVersions = createGroupVersions(documents);

  const buildTarget = (
    location: Pick<VmAllocation, 'vm' | 'address' | 'port' | 'availabilityZone'>,
    report: TargetReport,
  ): Omit<RoutableTarget, 'id' | 'weight' | 'sharingDaemons'> => ({
    vm: location.vm,
    address: location.address,
    port: location.port,
    availabilityZone: location.availabilityZone,
    group: null,
    generation: 0,
    instanceId: report.instanceId,
    warm: report.state === TargetState.WARM,
    load: toTargetLoad(report.load),
    loadAgeMs: report.ageMs,
  });

  const findGroupTarget = (
    configuration: Configuration,
    versioned: VersionedGroup,
  ): Omit<RoutableTarget, 'weight' | 'sharingDaemons'> | undefined => {
    const { group, allocation } = versioned;
    if (group.state !== GroupState.Serving || group.members.length === 0) return undefined;
    const memberVms = group.members.map((vm) => allocation.vms[vm]);
    const isAllowed = memberVms.every(
      (memberVm) =>
        memberVm !== undefined &&
        memberVm.group === group.name &&
        !memberVm.leaving &&
        !isZoneOut(configuration, memberVm.availabilityZone),
    );
    if (!isAllowed) return undefined;
    const reports = group.members.map((vm) => health.getReport(vm));
    if (!reports.every((report, rank) => isMemberReady(versioned, rank, report))) return undefined;
    const [leaderVm] = memberVms;
    const [leaderReport] = reports;
    if (leaderVm === undefined || leaderReport === undefined) return undefined;
    return {
      ...buildTarget(leaderVm, leaderReport),
      id: group.name,
      group: group.name,
      generation: group.generation,
      warm: reports.every((report) => report?.state === TargetState.WARM),
    };
  };

  const isLeaving = (vm: string): boolean =>
    documents.listAllocations().some(({ value }) => value.leavingServices?.includes(vm) === true);

  const findServiceTarget = (
    configuration: Configuration,
    service: Service,
    target: ServiceTarget,
  ): Omit<RoutableTarget, 'weight' | 'sharingDaemons'> | undefined => {
    if (isZoneOut(configuration, target.availabilityZone) || isLeaving(target.vm)) return undefined;
    const report = health.getReport(target.vm);
    if (!isReady(report)) return undefined;
    const built = buildTarget(target, report);
    const heldTokens = built.load.running + built.load.queued;
    // A call to a plain service counts as one token; the declaration sets the capacity.
    const load = { ...built.load, heldTokens, capacityTokens: service.concurrentCalls };
    return { ...built, load, id: target.vm };
  };

  return {
    listModelTargets(customer, name) {
      const configuration = documents.getConfiguration()?.value;
      const route = findRoute(configuration, customer, name);
      if (configuration === undefined || route === undefined) return [];
      const sharingDaemons = options.countSharingDaemons(customer);
      return route.servingGroups.flatMap((servingGroup) => {
        const weight = getWeight(configuration, route, servingGroup);
        return groupVersions
          .listGroups(servingGroup)
          .map((group) => findGroupTarget(configuration, group))
          .filter((target) => target !== undefined)
          .map((target) => ({ ...target, weight, sharingDaemons }));
      });
    },
    listServiceTargets(customer, name) {
      const configuration = documents.getConfiguration()?.value;
      const route = findRoute(configuration, customer, name);
      const service = configuration?.services.find((row) => row.name === route?.service);
      if (configuration === undefined || service === undefined) return [];
      const sharingDaemons = options.countSharingDaemons(customer);
      return service.targets
        .map((target) => findServiceTarget(configuration, service, target))
        .filter((target) => target !== undefined)
        .map((target) => ({ ...target, weight: DEFAULT_WEIGHT, sharingDaemons }));
    },
  };
}
