import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../settings/index.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';

const MAX_MEMBERS = 64;
const MAX_REPLICAS = 1_000;
const MAX_WEIGHT = 1_000;

/** A model served by replicas that each span several VMs of one fabric domain. */
export const servingGroupSchema = z.strictObject({
  name: nameSchema,
  model: nameSchema,
  modelVersion: z.string().min(1),
  /** Number of VMs of one replica. */
  members: z.number().int().min(1).max(MAX_MEMBERS),
  replicas: z.number().int().min(0).max(MAX_REPLICAS),
  /** Fabric domains in which replicas may be placed; empty allows all. */
  fabricDomains: z.array(nameSchema).default([]),
  /** Whether the engines refuse orders of the controller that carry an outdated fencing token. */
  checksFencing: z.boolean().default(true),
});

/** A target of a service. */
export const serviceTargetSchema = z.strictObject({
  vm: nameSchema,
  address: addressSchema,
  port: portSchema,
  availabilityZone: nameSchema,
});

/** A service that is not a model, such as an order system; its targets are single VMs. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  targets: z.array(serviceTargetSchema),
  /** Maximum number of concurrent calls to the service while it is cold. */
  coldLimit: z.number().int().min(1).default(1),
  /** Maximum number of concurrent calls to one target. */
  concurrentCalls: z.number().int().min(1).default(32),
  /** Fabric domain whose lease holder grants the call slots of the cold targets. */
  fabricDomain: nameSchema,
});

/** A name that a customer may call, and the serving groups or the service that handle the calls. */
export const routeSchema = z.strictObject({
  customer: nameSchema,
  /** Model name in completions, or service name in service calls. */
  name: nameSchema,
  servingGroups: z.array(nameSchema).default([]),
  service: nameSchema.optional(),
});

/** Weight with which the requests of a route go to one serving group. */
export const weightRowSchema = z.strictObject({
  customer: nameSchema,
  route: nameSchema,
  servingGroup: nameSchema,
  weight: z.number().int().min(0).max(MAX_WEIGHT),
});

/** Limits of one customer; they apply to the sum over all daemons. */
export const limitRowSchema = z.strictObject({
  customer: nameSchema,
  requestsPerSecond: z.number().positive(),
  concurrentRequests: z.number().int().positive(),
  tokensPerSecond: z.number().positive(),
  /** Weight relative to other customers when they compete for the capacity of a daemon. */
  shareWeight: z.number().int().min(1).max(MAX_WEIGHT).default(1),
});

/** An availability zone and the state that operators set for it. */
export const availabilityZoneRowSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
  state: z.enum(AvailabilityZoneState).default(AvailabilityZoneState.In),
});

/** The declaration of all rows that operators configure; they keep it in version control. */
export const declarationSchema = z.strictObject({
  servingGroups: z.array(servingGroupSchema).default([]),
  services: z.array(serviceSchema).default([]),
  routes: z.array(routeSchema).default([]),
  weights: z.array(weightRowSchema).default([]),
  limits: z.array(limitRowSchema).default([]),
  availabilityZones: z.array(availabilityZoneRowSchema).default([]),
});

/** Record of one change to the configuration. */
export const changeRecordSchema = z.strictObject({
  /** Id of the write that applied the change. */
  writeId: z.string(),
  /** Version that the change is based on. */
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
  /** Change records, newest last; at most `MAX_CHANGE_RECORDS`. */
  changes: z.array(changeRecordSchema).default([]),
});
