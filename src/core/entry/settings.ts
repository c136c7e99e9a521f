import { z } from 'zod';
import {
  addressSchema,
  durationMsSchema,
  metricsSchema,
  nameSchema,
  portSchema,
} from '../settings/index.ts';

const endpointSchema = z.strictObject({ address: addressSchema, port: portSchema });

const DEFAULT_CALLER_PORT = 8080;
const DEFAULT_PEER_PORT = 8081;
const DEFAULT_MEMBERSHIP_PORT = 8082;
const DEFAULT_SLOT_LIFETIME_MS = 3_000;
const DEFAULT_ADDRESS_LIFETIME_MS = 30_000;
const DEFAULT_DRAIN_DEADLINE_MS = 600_000;

/** Settings of the entry daemon. */
export const entrySettingsSchema = z.strictObject({
  /** Name of the VM; unique among the entry VMs. */
  name: nameSchema,
  /** IP address at which callers, other daemons and the controller connect to this daemon. */
  address: addressSchema,
  availabilityZone: nameSchema,
  region: nameSchema,
  ports: z
    .strictObject({
      /** TCP port for callers. */
      callers: portSchema.default(DEFAULT_CALLER_PORT),
      /** TCP port for other daemons, the controller and operators. */
      peers: portSchema.default(DEFAULT_PEER_PORT),
      /** UDP port of the membership protocol. */
      membership: portSchema.default(DEFAULT_MEMBERSHIP_PORT),
    })
    .prefault({}),
  /** Endpoint of the platform's object API and VM list. */
  platform: endpointSchema,
  /** Membership addresses, of daemons that are likely to be live, used to join the cluster. */
  seeds: z.array(endpointSchema).default([]),
  /** Lifetime of granted slots of cold targets; must be equal for all daemons and controllers. */
  slotLifetimeMs: durationMsSchema.default(DEFAULT_SLOT_LIFETIME_MS),
  /** Time for which callers cache the entry addresses; a graceful shutdown waits for it. */
  addressLifetimeMs: durationMsSchema.default(DEFAULT_ADDRESS_LIFETIME_MS),
  /** Maximum time that a graceful shutdown waits for streams and calls in flight. */
  drainDeadlineMs: durationMsSchema.default(DEFAULT_DRAIN_DEADLINE_MS),
  metrics: metricsSchema,
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
