import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../../core/settings/index.ts';

const timeMsSchema = z.number().int().min(0);

/** Simulated behaviour that all targets of the service share. */
export const serviceBehaviourSchema = z.strictObject({
  /** Time for which a target is cold after its start. */
  coldMs: timeMsSchema.default(2_000),
  /** Concurrent calls that a cold target takes; more make it fail. */
  coldLimit: z.number().int().min(1).default(1),
  /** Concurrent calls that a warm target takes; more are refused. */
  concurrentCalls: z.number().int().min(1).default(32),
  /** Processing time of a call. */
  workMs: timeMsSchema.default(20),
  /** Time for which a target refuses calls after an overload. */
  failedMs: timeMsSchema.default(2_000),
  /** Minimum age of the reported load before the status takes a new sample. */
  loadLagMs: timeMsSchema.default(500),
  /** Quantity in stock by item. */
  stock: z.record(z.string(), z.number().int()).default({ seedlings: 1_200, kibble: 840 }),
});

/** Settings of `standin-service`. */
export const serviceSettingsSchema = z.strictObject({
  behaviour: serviceBehaviourSchema.prefault({}),
  targets: z
    .array(
      z.strictObject({
        vm: nameSchema,
        address: addressSchema,
        /** 0 selects a free port. */
        port: portSchema.or(z.literal(0)),
      }),
    )
    .min(1),
  /** Control server for fault injection; it stays up while targets are down. */
  control: z.strictObject({ address: addressSchema, port: portSchema }).optional(),
});

export type ServiceBehaviour = z.infer<typeof serviceBehaviourSchema>;
export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;
