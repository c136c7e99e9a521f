import type { AvailabilityZoneRow } from '../declarations/index.ts';
import type { Member } from '../rpc/index.ts';

/** What the choice of a customer's daemons depends on; it is the same at every daemon. */
export interface CustomerSetInput {
  customer: string;
  members: readonly Member[];
  /** Zone states in force; a zone without a row is in. */
  availabilityZones: readonly AvailabilityZoneRow[];
  /** Daemons of the set; 4 by default. */
  setSize?: number;
}

/** Input of an address answer. */
export interface AddressInput extends CustomerSetInput {
  /** Availability zone of the caller, if it named one. */
  availabilityZone?: string | undefined;
  /** Prefix of request ids that the answering daemon issues. */
  requestIdPrefix: string;
}

/** One address that a caller may use. */
export interface EntryAddress {
  daemon: string;
  address: string;
  port: number;
  availabilityZone: string;
}

/** Answer of `GET /v1/addresses`. */
export interface AddressAnswer {
  /** Nearest availability zone first. */
  addresses: EntryAddress[];
  lifetimeMs: number;
  requestIdPrefix: string;
}
