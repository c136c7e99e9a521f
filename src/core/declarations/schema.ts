import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../settings/index.ts';
import { AvailabilityZoneState } from '../world/index.ts';

const MAX_MEMBERS = 64;
const MAX_REPLICAS = 1_000;
const MAX_WEIGHT = 1_000;

/** A model served by replicas that each span several VMs of one fabric domain. */
export const servingGroupSchema = z.strictObject({
  name: nameSchema,
  model: nameSchema,
  modelVersion: z.string().min(1),
  /** VMs of one replica. */
  members: z.number().int().min(1).max(MAX_MEMBERS),
  replicas: z.number().int().min(0).max(MAX_REPLICAS),
  /** Fabric domains that may hold replicas; empty for all. */
  fabricDomains: z.array(nameSchema).default([]),
  /** Whether the engines refuse an order with an old fencing number. */
  checksFencing: z.boolean().default(true),
});

/** A target of a plain service. */
export const serviceTargetSchema = z.strictObject({
  vm: nameSchema,
  address: addressSchema,
  port: portSchema,
  availabilityZone: nameSchema,
});

/** A plain service, such as an order system. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  targets: z.array(serviceTargetSchema),
  /** Calls that the service can take at once while it is cold. */
  coldLimit: z.number().int().min(1).default(1),
  /** Calls that one target can take at once. */
  concurrentCalls: z.number().int().min(1).default(32),
  /** Fabric domain whose lease holder grants the slots of its cold targets. */
  fabricDomain: nameSchema,
});

/** A name that a customer may call, and the groups or services behind it. */
export const routeSchema = z.strictObject({
  customer: nameSchema,
  /** Model name in completions, or service name in service calls. */
  name: nameSchema,
  servingGroups: z.array(nameSchema).default([]),
  service: nameSchema.optional(),
});

/** Share of a route that goes to one serving group. */
export const weightRowSchema = z.strictObject({
  customer: nameSchema,
  route: nameSchema,
  servingGroup: nameSchema,
  weight: z.number().int().min(0).max(MAX_WEIGHT),
});

/** Limits of one customer, summed over all daemons. */
export const limitRowSchema = z.strictObject({
  customer: nameSchema,
  requestsPerSecond: z.number().positive(),
  concurrentRequests: z.number().int().positive(),
  tokensPerSecond: z.number().positive(),
  /** Share of a daemon under contention, relative to other customers. */
  shareWeight: z.number().int().min(1).max(MAX_WEIGHT).default(1),
});

/** State that operators set for an availability zone. */
export const availabilityZoneRowSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
  state: z.enum(AvailabilityZoneState).default(AvailabilityZoneState.In),
});

/** The declaration that operators keep in version control. */
export const declarationSchema = z.strictObject({
  servingGroups: z.array(servingGroupSchema).default([]),
  services: z.array(serviceSchema).default([]),
  routes: z.array(routeSchema).default([]),
  weights: z.array(weightRowSchema).default([]),
  limits: z.array(limitRowSchema).default([]),
  availabilityZones: z.array(availabilityZoneRowSchema).default([]),
});

/** Who changed what, and when. */
export const changeRecordSchema = z.strictObject({
  /** Id of the write that made the change. */
  writeId: z.string(),
  /** Version that the change was made against. */
  baseVersion: z.number().int(),
  operator: z.string(),
  /** Wall time in milliseconds since the Unix epoch. */
  wallMs: z.number(),
  note: z.string(),
  /** Paths of the rows that changed, such as `limits/orchard`. */
  changedRows: z.array(z.string()),
});

/** Value of the platform object `config/current`. */
export const configurationSchema = declarationSchema.extend({
  /** Newest change last; at most `MAX_CHANGE_RECORDS`. */
  changes: z.array(changeRecordSchema).default([]),
});
