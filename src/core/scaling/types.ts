/** Engines of a service in one availability zone. */
export interface ScalingZone {
  name: string;
  isEvacuated: boolean;
  /** Number of engines that are not leaving, by fabric domain. */
  domainSizes: readonly number[];
  leavingEngines: number;
}

/** Why a number of targets is ordered. */
export enum ScaleReason {
  MoreWork = 'more-work',
  LessWork = 'less-work',
  /** The number in force is ordered again, as the zone has had another one for too long. */
  NotReached = 'not-reached',
}

/** A number of targets that a zone should have. */
export interface ScaleDecision {
  zone: string;
  targetCount: number;
  /** Number in force, or the number that exists if none was ordered. */
  previousCount: number;
  reason: ScaleReason;
}

/** Returns the number of engines in a zone that are not leaving. */
export function countUsableEngines({ domainSizes }: ScalingZone): number {
  return domainSizes.reduce((sum, size) => sum + size, 0);
}
