/**
 * Value of the platform objects `vm-home/<vm>` and `replica-home/<group>`. It records the only
 * fabric domain whose allocation may contain the VM or the replica.
 */
export interface Home {
  fabricDomain: string;
  /** Epoch of the lease under which the object was written. */
  epoch: number;
}

/** A home with the version that the platform assigned to the object. */
export interface VersionedHome extends Home {
  version: number;
}

/**
 * Returns whether the lease holder at this epoch may add the VM or the replica to its allocation. A
 * home of an earlier epoch must be written again first: the new object version makes a delayed
 * delete by an earlier holder fail.
 */
export function isHomeOwned(home: Home | undefined, fabricDomain: string, epoch: number): boolean {
  return home !== undefined && home.fabricDomain === fabricDomain && home.epoch === epoch;
}

/**
 * Returns whether the lease holder at this epoch may write or delete a home. A home of a later
 * epoch means that another controller holds the lease and may be about to add the VM or replica.
 */
export function mayWriteHome(home: Home, fabricDomain: string, epoch: number): boolean {
  return home.fabricDomain === fabricDomain && home.epoch <= epoch;
}
