import type { Allocation, GroupAllocation } from '../allocation/index.ts';
import type { DocumentStore, Versioned } from '../documents/index.ts';

/**
 * A group with the allocation version since which its generation, state and members are unchanged.
 */
export interface VersionedGroup {
  group: GroupAllocation;
  allocation: Allocation;
  sinceVersion: number;
}

/**
 * Tracks the allocation version at which each group last changed. The version of the allocation
 * itself is not enough, because renewals of the lease increase it too.
 */
export interface GroupVersions {
  listGroups(servingGroup: string): VersionedGroup[];
}

function formatKey(group: GroupAllocation): string {
  return JSON.stringify([group.generation, group.state, group.members]);
}

/** Creates the tracker of group versions; it reads the allocations of the document store. */
export function createGroupVersions(documents: DocumentStore): GroupVersions {
  const keys = new Map<string, { key: string; sinceVersion: number }>();
  const groups = new Map<string, VersionedGroup[]>();
  let cachedVersions = '';

  const addGroup = ({ version, value }: Versioned<Allocation>, group: GroupAllocation): void => {
    const name = `${value.fabricDomain}/${group.name}`;
    const key = formatKey(group);
    const before = keys.get(name);
    const sinceVersion = before?.key === key ? before.sinceVersion : version;
    keys.set(name, { key, sinceVersion });
    const listed = groups.get(group.servingGroup) ?? [];
    groups.set(group.servingGroup, [...listed, { group, allocation: value, sinceVersion }]);
  };

  const update = (): void => {
    const allocations = documents.listAllocations();
    const versions = allocations
      .map(({ version, value }) => `${value.fabricDomain}@${version}`)
      .join(' ');
    if (versions === cachedVersions) return;
    cachedVersions = versions;
    groups.clear();
    const names = new Set<string>();
    allocations.forEach((allocation) => {
      allocation.value.groups.forEach((group) => {
        names.add(`${allocation.value.fabricDomain}/${group.name}`);
        addGroup(allocation, group);
      });
    });
    [...keys.keys()].filter((name) => !names.has(name)).forEach((name) => keys.delete(name));
  };

  return {
    listGroups(servingGroup) {
      update();
      return groups.get(servingGroup) ?? [];
    },
  };
}
