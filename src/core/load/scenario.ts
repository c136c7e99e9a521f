import { z } from 'zod';
import { addressSchema, nameSchema, portSchema } from '../settings/index.ts';

const MAX_DURATION_MS = 600_000;
const MAX_REQUESTS = 100_000;
const MAX_CONCURRENT_REQUESTS = 2_000;
const MAX_PROMPT_CHARACTERS = 65_536;
const MAX_ANSWER_TOKENS = 32_768;

const shareSchema = z.number().min(0).max(1).default(0);

function createRangeSchema(highest: number, defaults: { min: number; max: number }) {
  return z
    .strictObject({
      min: z.number().int().min(1).max(highest),
      max: z.number().int().min(1).max(highest),
    })
    .refine(({ min, max }) => min <= max, 'min must not exceed max')
    .default(defaults);
}

/** Load of one customer. */
export const customerLoadSchema = z.strictObject({
  customer: nameSchema,
  availabilityZone: nameSchema.optional(),
  /** Name of a model route. */
  model: nameSchema,
  /** Name of a service route; required for orders. */
  service: nameSchema.optional(),
  orderPath: z.string().startsWith('/').default('/bookings'),
  /** Rate at which requests arrive, whether or not earlier ones have ended. */
  requestsPerSecond: z.number().positive().max(MAX_REQUESTS),
  promptCharacters: createRangeSchema(MAX_PROMPT_CHARACTERS, { min: 40, max: 400 }),
  answerTokens: createRangeSchema(MAX_ANSWER_TOKENS, { min: 16, max: 128 }),
  /** Fraction of the completions whose answers are read slowly. */
  slowReaderShare: shareSchema,
  /** Fraction of the requests that are orders, that is, non-idempotent service calls. */
  orderShare: shareSchema,
});

/** Schema of the scenario file of `clementinefork-load`. */
export const scenarioSchema = z.strictObject({
  seeds: z.array(z.strictObject({ address: addressSchema, port: portSchema })).min(1),
  /** Seed of the random number generator. */
  randomSeed: z.number().int().default(1),
  durationMs: z.number().int().min(1).max(MAX_DURATION_MS).default(10_000),
  maxRequests: z.number().int().min(1).max(MAX_REQUESTS).default(10_000),
  /** Maximum number of requests in flight; further arrivals are dropped and counted. */
  concurrentRequests: z.number().int().min(1).max(MAX_CONCURRENT_REQUESTS).default(500),
  /** Pause of slow readers after each chunk, in milliseconds. */
  slowReadMs: z.number().int().min(1).default(200),
  customers: z.array(customerLoadSchema).min(1),
});

export type CustomerLoad = z.infer<typeof customerLoadSchema>;
export type Scenario = z.infer<typeof scenarioSchema>;
