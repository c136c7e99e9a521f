/**
 * Value of `vm-home/<vm>` and `replica-home/<group>`: the only fabric domain whose allocation may
 * hold the VM or the replica.
 */
export interface Home {
  fabricDomain: string;
  /** Epoch of the lease under which the home was written. */
  epoch: number;
}

/** A home with the version that the platform gave to it. */
export interface VersionedHome extends Home {
  version: number;
}

/**
 * Tells whether the holder at this epoch may add what the home names to its allocation. A home of
 * an earlier epoch is written again first: the new version makes a late delete by an earlier
 * holder fail.
 */
export function isHomeOwned(home: Home | undefined, fabricDomain: string, epoch: number): boolean {
  return home !== undefined && home.fabricDomain === fabricDomain && home.epoch === epoch;
}
