import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../../core/settings/index.ts';

const timeMsSchema = z.number().int().min(0);

/** How the targets of the service behave. */
export const serviceBehaviourSchema = z.strictObject({
  /** A target is cold after its start for this time. */
  coldMs: timeMsSchema.default(2_000),
  /** Calls that a cold target takes at once; more make it fail. */
  coldLimit: z.number().int().min(1).default(1),
  /** Calls that a warm target takes at once; more are refused. */
  concurrentCalls: z.number().int().min(1).default(32),
  /** Time that a call takes. */
  workMs: timeMsSchema.default(20),
  /** Time for which a target refuses calls after an overload. */
  failedMs: timeMsSchema.default(2_000),
  loadLagMs: timeMsSchema.default(500),
  /** Units of each item in stock. */
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
        /** 0 chooses a free port. */
        port: portSchema.or(z.literal(0)),
      }),
    )
    .min(1),
  /** Server for faults that stays up while targets are down. */
  control: z.strictObject({ address: addressSchema, port: portSchema }).optional(),
});

export type ServiceBehaviour = z.infer<typeof serviceBehaviourSchema>;
export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;
