import type { Home, VersionedHome } from '../allocation/index.ts';

/** Caches homes as last read or written; an older read never replaces a newer write. */
export interface HomeCache {
  get(name: string): VersionedHome | undefined;
  listHomes(): ReadonlyMap<string, VersionedHome>;
  applyHome(name: string, home: Home, version: number): void;
  applyDeleted(name: string, version: number): void;
  /**
   * Marks a home whose last write or delete has an unknown outcome. A delete may still take effect,
   * so the home is treated as one of an earlier epoch until it has been written again.
   */
  markUncertain(name: string): void;
}

const EARLIER_EPOCH = 0;

/** Creates an empty home cache. */
export function createHomeCache(): HomeCache {
  const homes = new Map<string, VersionedHome>();
  const newestVersions = new Map<string, number>();
  const uncertainVersions = new Map<string, number>();

  const isNewer = (name: string, version: number): boolean =>
    version >= (newestVersions.get(name) ?? 0);

  return {
    get: (name) => homes.get(name),
    listHomes: () => homes,
    applyHome(name, { fabricDomain, epoch }, version) {
      if (!isNewer(name, version)) return;
      newestVersions.set(name, version);
      const isUncertain = version <= (uncertainVersions.get(name) ?? -1);
      homes.set(name, { fabricDomain, epoch: isUncertain ? EARLIER_EPOCH : epoch, version });
    },
    applyDeleted(name, version) {
      const known = homes.get(name)?.version ?? -1;
      if (version < known) return;
      // A delete has a higher version than the object it deleted, even if the response omits it.
      newestVersions.set(name, Math.max(version, known + 1, newestVersions.get(name) ?? 0));
      homes.delete(name);
    },
    markUncertain(name) {
      const home = homes.get(name);
      if (home === undefined) return;
      uncertainVersions.set(name, home.version);
      homes.set(name, { ...home, epoch: EARLIER_EPOCH });
    },
  };
}
