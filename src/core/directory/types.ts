/** A ready gateway that may be named to callers: what it can bear, and what it bears now. */
export interface DirectoryCandidate {
  /** `host:port` that callers connect to. */
  callersAddress: string;
  availabilityZone: string;
  /** CPU capacity of the VM in millicores; 0 if unknown. */
  capacity: number;
  /** Link of the VM in megabits a second; 0 if unknown. */
  linkMbps: number;
  /** Requests of callers in progress. */
  inProgress: number;
  /** Share of the memory that is in use, from 0 to 1. */
  memoryShare: number;
  /** Time since the gateway was heard, in milliseconds; 0 for the one that answers. */
  silentMs: number;
}

/** Where a caller says that it is; undefined if it does not say so. */
export interface CallerLocation {
  availabilityZone?: string | undefined;
  region?: string | undefined;
}

/** Addresses that callers connect to, and how long they may cache them. */
export interface DirectoryResponse {
  callersAddresses: string[];
  ttlMs: number;
}

/** How the names of an answer were chosen. */
export enum DirectoryChoice {
  /** All gateways are named, or as many as an answer holds, in the order in which they are known. */
  All = 'all',
  /** The names are drawn by weight. */
  Weighted = 'weighted',
}
