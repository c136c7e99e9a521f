import { z } from 'zod';
import { addressSchema, portSchema } from '../../core/settings/index.ts';

const bytesSchema = z.number().int().positive();

/** Settings of `standin-weights`. */
export const weightsSettingsSchema = z.strictObject({
  address: addressSchema,
  /** 0 selects a free port. */
  port: portSchema.or(z.literal(0)),
  /** Transfer rate that all loads share. */
  bytesPerSecond: bytesSchema.default(100_000_000),
  /** Loads that may wait behind the first one; more are refused with 429. */
  waitingLoads: z.number().int().min(0).default(64),
  /** Size in bytes by model name. */
  modelBytes: z.record(z.string(), bytesSchema).default({}),
  /** Size of a model that `modelBytes` does not list. */
  defaultBytes: bytesSchema.default(10_000_000),
});

export type WeightsSettings = z.infer<typeof weightsSettingsSchema>;
