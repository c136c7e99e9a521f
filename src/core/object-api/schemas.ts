import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../settings/index.ts';
import { VmRole, VmState } from '../domain-types/index.ts';

/** A VM in the VM list. */
export const vmSchema = z.object({
  name: nameSchema,
  address: addressSchema,
  port: portSchema,
  availabilityZone: nameSchema,
  region: nameSchema,
  fabricDomain: nameSchema,
  role: z.enum(VmRole),
  accelerators: z.number().int().min(0),
  state: z.enum(VmState),
});

/** Response body of `GET /vms`. */
export const vmListSchema = z.object({ vms: z.array(vmSchema) });

/** An object in responses of the object API. */
export const platformObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number().int(),
  writeId: z.string(),
  value: z.unknown(),
});

/** Response body of `GET /objects/{kind}`. */
export const objectListSchema = z.object({ objects: z.array(platformObjectSchema) });

/** Response body of `GET /watch/{kind}`. */
export const watchResultSchema = z.object({
  version: z.number().int(),
  objects: z.array(platformObjectSchema.extend({ deleted: z.boolean().default(false) })),
});

/** Response body of a conditional write that took effect. */
export const writeResponseSchema = z.object({ version: z.number().int() });

/** Response body of a conditional write whose base version is not current. */
export const conflictResponseSchema = z.object({ current: platformObjectSchema.nullish() });
