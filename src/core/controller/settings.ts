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
    /** A holder stops acting this long before its lease expires. */
    marginMs: durationMsSchema.default(LEASE_MARGIN_MS),
    /** Interval at which a candidate reads the lease that it competes for. */
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
    /** Longest time between sending an order to an engine and the order taking effect there. */
    longestDelayMs: durationMsSchema.default(LONGEST_ORDER_DELAY_MS),
    retryMs: durationMsSchema.default(2_000),
    timeoutMs: durationMsSchema.default(2_000),
  })
  .prefault({});

const statusSchema = z
  .strictObject({
    queryMs: durationMsSchema.default(1_000),
    /** Shorter than `queryMs`, so that an unanswered query does not delay the next one. */
    timeoutMs: durationMsSchema.default(800),
    /** Number of consecutive failed queries after which a VM counts as lost. */
    failuresUntilLost: countSchema.default(5),
  })
  .prefault({});

const planningSchema = z
  .strictObject({
    /** Interval at which a domain is planned. */
    stepMs: durationMsSchema.default(500),
    drainQuietMs: durationMsSchema.default(5_000),
    drainTimeoutMs: durationMsSchema.default(300_000),
    claimStepMs: durationMsSchema.default(1_000),
    maxLoadsInFlight: countSchema.default(64),
    maxAllocationBytes: countSchema.default(MAX_ALLOCATION_BYTES),
    /** Maximum number of home writes and deletes in one step, so that renewals are not delayed. */
    maxHomeWritesPerStep: countSchema.default(20),
    /** Bytes of weights that one member loads, by model; unlisted models count as equal in size. */
    memberBytes: z.record(nameSchema, z.number().positive()).default({}),
  })
  .prefault({});

const readingSchema = z
  .strictObject({
    /** Interval at which a lease holder reads the configuration and the homes. */
    holderMs: durationMsSchema.default(1_000),
    /** Interval of these reads for a controller without a lease. */
    idleMs: durationMsSchema.default(10_000),
    /** Interval at which a lease holder reads the VM list. */
    vmListMs: durationMsSchema.default(5_000),
    /** Interval of VM list reads for a controller without a lease; longer, as the list is large. */
    idleVmListMs: durationMsSchema.default(30_000),
    /** Interval of reads of other domains while a version update is pending. */
    peerGroupsMs: durationMsSchema.default(5_000),
  })
  .prefault({});

/** Settings of the controller. */
export const controllerSettingsSchema = z.strictObject({
  /** Name of the VM of this controller, which is also the name of the entry daemon on it. */
  vm: nameSchema,
  availabilityZone: nameSchema,
  /** Endpoint of the object API and the VM list. */
  platform: endpointSchema,
  /** Peer endpoint of the entry daemon on the same VM. */
  daemon: endpointSchema,
  reportMs: durationMsSchema.default(1_000),
  /** Time without an answered report after which the controller releases its leases. */
  reportTimeoutMs: durationMsSchema.default(10_000),
  /** Lifetime of slots of cold targets; slots from an earlier lease holder expire within it. */
  slotLifetimeMs: durationMsSchema.default(3_000),
  lease: leaseSchema,
  orders: orderSchema,
  status: statusSchema,
  planning: planningSchema,
  reading: readingSchema,
  metrics: metricsSchema,
});

export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
