import type { EngineGroup, Target } from './types.ts';
import { GroupState } from './types.ts';

/** States of a head in which its group accepts requests or still finishes some. */
export const ACTIVE_HEAD_STATES: ReadonlySet<GroupState | undefined> = new Set([
  GroupState.Open,
  GroupState.Closing,
]);

/** Returns the unique key of a group; a name may occur again in another epoch. */
export function formatGroupKey(group: Pick<EngineGroup, 'service' | 'name' | 'epoch'>): string {
  return `${group.service}/${group.name}/${group.epoch}`;
}

/** Builds the groups that the entries of engines refer to. */
export function buildGroups(targets: Iterable<Target>): EngineGroup[] {
  const groups = new Map<string, EngineGroup>();
  for (const target of targets) {
    const { group } = target;
    if (group === undefined) continue;
    const key = formatGroupKey({ service: target.service, ...group });
    const known = groups.get(key) ?? {
      name: group.name,
      epoch: group.epoch,
      service: target.service,
      model: target.currentModel,
      fabricDomain: target.fabricDomain,
      membersByRank: [],
      headEngine: undefined,
    };
    known.membersByRank[group.rank] = target;
    if (group.rank === 0) {
      known.headEngine = target;
      known.model = target.currentModel ?? known.model;
    }
    groups.set(key, known);
  }
  return [...groups.values()];
}

/** States of a member that has completed its join and has not stopped serving. */
const OPERATIONAL_STATES: ReadonlySet<GroupState> = new Set([GroupState.Ready, GroupState.Open]);

/** Whether every member of a group, the head included, has an entry and is ready or open. */
export function areAllMembersOperational(group: EngineGroup, groupSize: number): boolean {
  if (group.headEngine === undefined || group.membersByRank.length !== groupSize) return false;
  for (let rank = 0; rank < groupSize; rank++) {
    const state = group.membersByRank[rank]?.group?.state;
    if (state === undefined || !OPERATIONAL_STATES.has(state)) return false;
  }
  return true;
}
