import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../settings/index.ts';
import { VmRole, VmState } from '../world/index.ts';

/** A VM as the VM list gives it. */
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

/** Answer of `GET /vms`. */
export const vmListSchema = z.object({ vms: z.array(vmSchema) });

/** An object as the object API gives it. */
export const platformObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number().int(),
  writeId: z.string(),
  value: z.unknown(),
});

/** Answer of `GET /objects/{kind}`. */
export const objectListSchema = z.object({ objects: z.array(platformObjectSchema) });

/** Answer of `GET /watch/{kind}`. */
export const watchResultSchema = z.object({
  version: z.number().int(),
  objects: z.array(platformObjectSchema.extend({ deleted: z.boolean().default(false) })),
});

/** Answer to a conditional write that took effect. */
export const writeAnswerSchema = z.object({ version: z.number().int() });

/** Answer to a conditional write with a stale base version. */
export const conflictAnswerSchema = z.object({ current: platformObjectSchema.nullish() });
