import { CONFIG_NAME } from '../declarations/index.ts';
import type { DocumentVersion, GetStatusResponse } from '../rpc/index.ts';
import { DocumentKind, MemberState } from '../rpc/index.ts';
import type { Vm } from '../domain-types/index.ts';
import { VmRole, VmState } from '../domain-types/index.ts';
import type { DaemonStatusResult } from './daemons.ts';

/** Whether a daemon has the configuration in force. */
export enum DaemonState {
  Current = 'current',
  Behind = 'behind',
  /** The daemon did not answer, so it may serve with an older version. */
  Unknown = 'unknown',
  /**
   * The daemon did not answer, the other daemons report it as dead or not at all, and its VM no
   * longer exists. It is left out when the state of the change is computed.
   */
  Gone = 'gone',
}

/** Whether the change in force has reached every daemon. */
export enum ChangeState {
  /** Every daemon has the version in force. */
  Settled = 'settled',
  /** Some daemons have the version in force, others do not or did not answer. */
  HalfWay = 'half-way',
  /** No daemon has the version in force. */
  NotStarted = 'not-started',
  /** The version in force is not known, because the object API does not answer. */
  Unknown = 'unknown',
}

/** State of one daemon in the report. */
export interface DaemonReport {
  name: string;
  state: DaemonState;
  /** Configuration version; undefined when the daemon did not answer. */
  version?: number;
  availabilityZone?: string;
  leaving?: boolean;
  streams?: number;
  bufferedBytes?: number;
  /** Fabric domains for which another daemon has a newer version of the allocation. */
  allocationsBehind?: string[];
  problem?: string;
}

/** Configuration versions of all daemons, and whether the change in force has reached them. */
export interface ConvergenceReport {
  state: ChangeState;
  /** Version in force, or the newest version of any daemon when the object API does not answer. */
  version: number;
  daemons: DaemonReport[];
  /** Names of the daemons that do not report the version in force. */
  missing: string[];
}

/** Input of `computeConvergence`. */
export interface ConvergenceInput {
  /** Undefined when the object API does not answer. */
  versionInForce: number | undefined;
  /** Undefined when the VM list cannot be read. */
  vms: readonly Vm[] | undefined;
  /** Status of each known daemon, or the reason why it could not be fetched. */
  statusResults: readonly DaemonStatusResult[];
}

function getConfigVersion({ documents }: GetStatusResponse): number {
  const document = documents.find(
    ({ kind, name }) => kind === DocumentKind.CONFIG && name === CONFIG_NAME,
  );
  return Number(document?.version ?? 0n);
}

function listAllocations({ documents }: GetStatusResponse): DocumentVersion[] {
  return documents.filter(({ kind }) => kind === DocumentKind.ALLOCATION);
}

function computeNewestAllocations(
  statusResults: readonly DaemonStatusResult[],
): Map<string, bigint> {
  const newest = new Map<string, bigint>();
  statusResults.forEach(({ status }) => {
    if (status === undefined) return;
    listAllocations(status).forEach(({ name, version }) => {
      if (version > (newest.get(name) ?? 0n)) newest.set(name, version);
    });
  });
  return newest;
}

function buildUnreachableReport(
  result: DaemonStatusResult,
  vms: readonly Vm[] | undefined,
): DaemonReport {
  const { address, port, membership, problem = 'no answer' } = result;
  const name = result.name ?? `${address}:${port}`;
  // A daemon has the name of its VM. The name of a daemon is unknown if only the settings list its
  // address; its VM is then looked up by address.
  const hasVm =
    vms?.some((vm) => (result.name ? vm.name === name : vm.address === address)) ?? true;
  const isGone = (membership ?? MemberState.DEAD) === MemberState.DEAD && !hasVm;
  return { name, state: isGone ? DaemonState.Gone : DaemonState.Unknown, problem };
}

function buildReport(
  status: GetStatusResponse,
  version: number,
  newest: ReadonlyMap<string, bigint>,
): DaemonReport {
  const configVersion = getConfigVersion(status);
  const allocationVersions = new Map(
    listAllocations(status).map((entry) => [entry.name, entry.version]),
  );
  return {
    name: status.daemon,
    state: configVersion >= version ? DaemonState.Current : DaemonState.Behind,
    version: configVersion,
    availabilityZone: status.availabilityZone,
    leaving: status.leaving,
    streams: status.streams,
    bufferedBytes: Number(status.bufferedBytes),
    allocationsBehind: [...newest]
      .filter(([name, newestVersion]) => (allocationVersions.get(name) ?? 0n) < newestVersion)
      .map(([name]) => name)
      .sort(),
  };
}

/** Lists live entry VMs on which no daemon is known. */
function listVmsWithoutDaemon(input: ConvergenceInput): DaemonReport[] {
  const known = new Set(input.statusResults.map(({ name, address }) => name ?? address));
  return (input.vms ?? [])
    .filter((vm) => vm.role === VmRole.Entry && vm.state === VmState.Live)
    .filter((vm) => !known.has(vm.name) && !known.has(vm.address))
    .map(({ name }) => ({
      name,
      state: DaemonState.Unknown,
      problem: 'in the VM list, but unknown to all daemons',
    }));
}

function computeState(
  versionInForce: number | undefined,
  daemons: readonly DaemonReport[],
): ChangeState {
  if (versionInForce === undefined) return ChangeState.Unknown;
  const counted = daemons.filter(({ state }) => state !== DaemonState.Gone);
  const current = counted.filter(({ state }) => state === DaemonState.Current);
  if (current.length === 0) return ChangeState.NotStarted;
  return current.length === counted.length ? ChangeState.Settled : ChangeState.HalfWay;
}

/** Computes which daemons have the version in force and whether it has reached all of them. */
export function computeConvergence(input: ConvergenceInput): ConvergenceReport {
  const { statusResults, versionInForce, vms } = input;
  const newest = computeNewestAllocations(statusResults);
  const reportedVersions = statusResults.map(({ status }) =>
    status === undefined ? 0 : getConfigVersion(status),
  );
  const version = versionInForce ?? Math.max(0, ...reportedVersions);
  const daemons = statusResults
    .map((result) =>
      result.status === undefined
        ? buildUnreachableReport(result, vms)
        : buildReport(result.status, version, newest),
    )
    .concat(listVmsWithoutDaemon(input))
    .sort((left, right) => left.name.localeCompare(right.name));
  const missing = daemons
    .filter(({ state }) => state === DaemonState.Behind || state === DaemonState.Unknown)
    .map(({ name }) => name);
  return { state: computeState(versionInForce, daemons), version, daemons, missing };
}
