import { z } from 'zod';
import type { ServiceSpec } from '../core/serving/index.ts';

const MS_PER_SECOND = 1_000;
/** Most targets of a zone that an order may name; a larger number is an error of the configuration. */
const MAX_TARGETS = 100_000;
/** Longest time for a new target to run; a longer one is an error of the configuration. */
const MAX_BOOT_S = 86_400;

const countSchema = z.int().nonnegative().max(MAX_TARGETS);

const scalingSchema = z
  .object({
    min: countSchema,
    max: countSchema,
    boot_s: z.number().nonnegative().max(MAX_BOOT_S).default(0),
  })
  .refine(({ min, max }) => min <= max, { message: 'min is above max' });

/**
 * Decodes the bounds on the number of a service's targets. Unusable ones switch only the ordering of
 * targets off, as the service can be served without it.
 */
export function decodeScaling(value: unknown): Pick<ServiceSpec, 'scaling' | 'scalingProblem'> {
  if (value === undefined || value === null) return {};
  const result = scalingSchema.safeParse(value);
  if (!result.success) return { scalingProblem: z.prettifyError(result.error) };
  const { min, max, boot_s: bootS } = result.data;
  return { scaling: { minTargets: min, maxTargets: max, bootMs: bootS * MS_PER_SECOND } };
}
