import { z } from 'zod';
import type { Allocation } from '../allocation/index.ts';
import { GroupState } from '../allocation/index.ts';
import { addressSchema, portSchema } from '../settings/index.ts';

const countSchema = z.number().int().min(0);

const leaseSchema = z.object({
  holder: z.string(),
  vm: z.string(),
  epoch: countSchema,
  renewal: countSchema,
  durationMs: countSchema,
  released: z.boolean(),
});

const groupSchema = z.object({
  name: z.string(),
  servingGroup: z.string(),
  model: z.string(),
  modelVersion: z.string(),
  generation: countSchema,
  state: z.enum(GroupState),
  members: z.array(z.string()),
});

const vmSchema = z.object({
  vm: z.string(),
  address: addressSchema,
  port: portSchema,
  availabilityZone: z.string(),
  group: z.string().nullable(),
  leaving: z.boolean(),
});

/** Value of the platform object `allocation/<fabricDomain>`. */
export const allocationSchema: z.ZodType<Allocation> = z.object({
  fabricDomain: z.string(),
  lease: leaseSchema,
  groups: z.array(groupSchema),
  vms: z.record(z.string(), vmSchema),
  leavingServices: z.array(z.string()).optional(),
});
