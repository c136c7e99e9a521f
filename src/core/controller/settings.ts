import { z } from 'zod';
import {
  CANDIDATES_PER_DOMAIN,
  LEASE_DURATION_MS,
  LEASE_MARGIN_MS,
  LEASE_RENEWAL_MS,
  LONGEST_ORDER_DELAY_MS,
  MAX_ALLOCATION_BYTES,
} from '../allocation/index.ts';
import {
  addressSchema,
  durationMsSchema,
  metricsSchema,
  nameSchema,
  portSchema,
} from '../settings/index.ts';

const endpointSchema = z.strictObject({ address: addressSchema, port: portSchema });
const countSchema = z.number().int().positive();

const leaseSchema = z
  .strictObject({
    durationMs: durationMsSchema.default(LEASE_DURATION_MS),
    renewalMs: durationMsSchema.default(LEASE_RENEWAL_MS),
    /** A holder stops acting this long before its lease ends. */
    marginMs: durationMsSchema.default(LEASE_MARGIN_MS),
    /** Time between two reads of a lease that this controller competes for. */
    observationMs: durationMsSchema.default(4_000),
    candidates: countSchema.default(CANDIDATES_PER_DOMAIN),
  })
  .refine(
    ({ durationMs, renewalMs, marginMs }) => renewalMs + marginMs < durationMs,
    'renewalMs and marginMs together must be below durationMs',
  )
  .prefault({});

const orderSchema = z
  .strictObject({
    /** Longest time between sending an order and its effect at a target. */
    longestDelayMs: durationMsSchema.default(LONGEST_ORDER_DELAY_MS),
    retryMs: durationMsSchema.default(2_000),
    timeoutMs: durationMsSchema.default(2_000),
  })
  .prefault({});

const statusSchema = z
  .strictObject({
    queryMs: durationMsSchema.default(1_000),
    /** Below `queryMs`, so that an unanswered query does not delay the next one. */
    timeoutMs: durationMsSchema.default(800),
    /** Failed queries in a row after which a VM counts as lost. */
    failuresUntilLost: countSchema.default(5),
  })
  .prefault({});

const planningSchema = z
  .strictObject({
    /** Time between two plans of a domain. */
    stepMs: durationMsSchema.default(500),
    drainQuietMs: durationMsSchema.default(5_000),
    drainTimeoutMs: durationMsSchema.default(300_000),
    claimStepMs: durationMsSchema.default(1_000),
    maxLoadsInFlight: countSchema.default(64),
    maxAllocationBytes: countSchema.default(MAX_ALLOCATION_BYTES),
    /** Homes that are written or deleted in one step, so that a renewal is not delayed. */
    maxHomeWritesPerStep: countSchema.default(20),
    /** Bytes of weights that one member loads, by model; other models count as equal. */
    memberBytes: z.record(nameSchema, z.number().positive()).default({}),
  })
  .prefault({});

const readingSchema = z
  .strictObject({
    /** Time between two reads of configuration and replica homes by a lease holder. */
    holderMs: durationMsSchema.default(1_000),
    /** The same for a controller without a lease. */
    idleMs: durationMsSchema.default(10_000),
    /** Time between two reads of the VM list by a lease holder. */
    vmListMs: durationMsSchema.default(5_000),
    /** The same for a controller without a lease; the list is large. */
    idleVmListMs: durationMsSchema.default(30_000),
    /** Time between two reads of other domains while a change of version is pending. */
    peerGroupsMs: durationMsSchema.default(5_000),
  })
  .prefault({});

/** Settings of the controller. */
export const controllerSettingsSchema = z.strictObject({
  /** VM of this controller; the name of the entry daemon on the same VM. */
  vm: nameSchema,
  availabilityZone: nameSchema,
  /** Object API and VM list. */
  platform: endpointSchema,
  /** Peer port of the entry daemon on the same VM. */
  daemon: endpointSchema,
  reportMs: durationMsSchema.default(1_000),
  /** Without an answered report for this long, the controller gives up its leases. */
  reportTimeoutMs: durationMsSchema.default(10_000),
  /** Lifetime of slots of cold targets; grants of an earlier holder end within it. */
  slotLifetimeMs: durationMsSchema.default(3_000),
  lease: leaseSchema,
  orders: orderSchema,
  status: statusSchema,
  planning: planningSchema,
  reading: readingSchema,
  metrics: metricsSchema,
});

export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
