import type { AvailabilityZoneRow } from '../declarations/index.ts';
import type { Member } from '../rpc/index.ts';

/** Input for selecting the daemons of a customer; all daemons select from the same input. */
export interface CustomerDaemonsInput {
  customer: string;
  members: readonly Member[];
  /** Declared availability zones with their state; a zone without a row is in service. */
  availabilityZones: readonly AvailabilityZoneRow[];
  /** Number of daemons to select; default: `DAEMONS_PER_CUSTOMER`, which is 4. */
  daemonCount?: number;
}

/** Input for an address response. */
export interface AddressInput extends CustomerDaemonsInput {
  /** Availability zone of the caller, if the request contains one. */
  availabilityZone?: string | undefined;
  /** Prefix of request ids that the answering daemon issues. */
  requestIdPrefix: string;
}

/** Address of an entry daemon that a caller may use. */
export interface EntryAddress {
  daemon: string;
  address: string;
  port: number;
  availabilityZone: string;
}

/** Response body of `GET /v1/addresses`. */
export interface AddressResponse {
  /** Nearest availability zone first. */
  addresses: EntryAddress[];
  /** Time for which the caller may cache the response, in milliseconds. */
  lifetimeMs: number;
  requestIdPrefix: string;
}
