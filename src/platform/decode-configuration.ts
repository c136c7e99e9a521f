import { z } from 'zod';
import type { CustomerRoute, ServiceSpec, ServingConfiguration } from '../core/serving/index.ts';
import { RequestKind } from '../core/serving/index.ts';
import { decodeScaling } from './decode-scaling.ts';
import { stepModelFields, toStepModel } from './decode-step-model.ts';

/** Name of the object that holds the configuration in force. */
export const CONFIGURATION_NAME = 'main';

const MS_PER_SECOND = 1_000;

/** Timeout of a route without one; equals the longest timeout of the configurations in use. */
const DEFAULT_TIMEOUT_MS = 8_000;

const REQUEST_KIND_BY_NAME: Readonly<Record<string, RequestKind>> = {
  idempotent: RequestKind.Idempotent,
  non_idempotent: RequestKind.NonIdempotent,
  streaming: RequestKind.Streaming,
};

const routeSchema = z
  .object({
    name: z.string(),
    host: z.string(),
    path_prefix: z.string(),
    kind: z.string(),
    timeout_ms: z.number().optional(),
    target_latency_ms: z.number().optional(),
    gap_target_ms: z.number().optional(),
    priority: z.number().default(0),
    // A route has one service, or splits its requests across several.
    service: z.string().optional(),
    traffic_split: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
    max_attempts: z.number().default(1),
    allow_anonymous: z.boolean().default(false),
    stream_resume: z.boolean().default(false),
  })
  .transform((route): CustomerRoute => {
    const timeoutMs = route.timeout_ms ?? DEFAULT_TIMEOUT_MS;
    return {
      name: route.name,
      host: route.host.toLowerCase(),
      pathPrefix: route.path_prefix,
      // An unknown kind is treated as the one with the strictest limits on retries.
      kind: REQUEST_KIND_BY_NAME[route.kind] ?? RequestKind.NonIdempotent,
      timeoutMs,
      latencyObjectiveMs: route.target_latency_ms ?? timeoutMs,
      gapObjectiveMs: route.gap_target_ms,
      priority: route.priority,
      services: toRouteServices(route),
      maxAttempts: route.max_attempts,
      isAnonymousAllowed: route.allow_anonymous,
      isResumable: route.stream_resume,
    };
  });

function toRouteServices(route: {
  service?: string | undefined;
  traffic_split?: { service: string; weight: number }[] | undefined;
}): CustomerRoute['services'] {
  if (route.traffic_split !== undefined && route.traffic_split.length > 0) {
    return route.traffic_split;
  }
  return route.service === undefined ? [] : [{ service: route.service, weight: 1 }];
}

/** A positive number; anything else is as if it were missing, as estimates do without it. */

const engineSchema = z.object({
  slots: z.number(),
  models: z.array(
    z.object({
      name: z.string(),
      size: z.number().default(1),
      share: z.number().default(1),
      pace: z.number().default(1),
      load_s: z.number().default(0),
      warm_s: z.number().default(0),
    }),
  ),
  loads_per_s: z.number().default(1),
  loads_at_once: z.number().default(1),
  form_ms: z.number().default(0),
  ...stepModelFields,
});

const serviceSchema = z
  .object({
    name: z.string(),
    cold_per_s: z.number().default(0),
    engine: engineSchema.optional(),
    autoscaling: z.unknown().optional(),
  })
  .transform((service): ServiceSpec => ({
    name: service.name,
    ...decodeScaling(service.autoscaling),
    coldRequestsPerSecond: service.cold_per_s,
    engine: service.engine && {
      slots: service.engine.slots,
      models: service.engine.models.map((model) => ({
        name: model.name,
        groupSize: model.size,
        engineShareWeight: model.share,
        pace: model.pace,
        loadMs: model.load_s * MS_PER_SECOND,
        stagedJoinMs: model.warm_s * MS_PER_SECOND,
      })),
      loadsPerSecond: service.engine.loads_per_s,
      maxUnslowedLoads: service.engine.loads_at_once,
      openMs: service.engine.form_ms,
      stepModel: toStepModel(service.engine),
    },
  }));

const configurationSchema = z
  .object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: z.object({
      max_header_bytes: z.number(),
      max_body_bytes: z.number(),
      header_timeout_ms: z.number(),
      idle_timeout_ms: z.number(),
    }),
    // If tenants are missing, requests need no API key.
    tenants: z
      .array(z.object({ name: z.string(), api_keys: z.array(z.string()).default([]) }))
      .optional(),
  })
  .transform((spec): ServingConfiguration => ({
    version: spec.version,
    routes: spec.routes,
    services: spec.services,
    customers: spec.tenants?.map(({ name, api_keys: keys }) => ({ name, keys })),
    limits: {
      maxHeaderBytes: spec.limits.max_header_bytes,
      maxBodyBytes: spec.limits.max_body_bytes,
      headerTimeoutMs: spec.limits.header_timeout_ms,
      idleTimeoutMs: spec.limits.idle_timeout_ms,
    },
  }));

/** Decoded value, or a description of the problem; another writer may have stored invalid data. */
export type Decoded<Value> = { value: Value } | { problem: string };

/** Decodes the operators' configuration (`spec` of the object `config/main`). */
export function decodeConfiguration(spec: unknown): Decoded<ServingConfiguration> {
  const result = configurationSchema.safeParse(spec);
  return result.success ? { value: result.data } : { problem: z.prettifyError(result.error) };
}
