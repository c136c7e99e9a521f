import { Agent, request } from 'undici';
import { z } from 'zod';
import { formatOrigin } from '../origin/index.ts';
import type { TimerService } from '../timers/index.ts';
import { EnginePhase } from '../domain-types/index.ts';
import type { TargetStatus } from '../domain-types/index.ts';
import { MAX_STATUS_BYTES, PROBE_DEADLINE_MS } from './consts.ts';
import type { TargetLocation } from './target-locations.ts';

const HTTP_OK = 200;

const countSchema = z.number().min(0);

const statusSchema = z.object({
  instanceId: z.string(),
  group: z.string().nullable().default(null),
  generation: countSchema.default(0),
  epoch: countSchema.default(0),
  rank: countSchema.default(0),
  phase: z.enum(EnginePhase),
  warm: z.boolean(),
  model: z.string().nullable().default(null),
  modelVersion: z.string().nullable().default(null),
  load: z.object({
    running: countSchema,
    queued: countSchema,
    heldTokens: countSchema,
    capacityTokens: countSchema,
    coldLimit: countSchema,
    ageMs: countSchema,
  }),
});

/** Queries the status of a target. Rejects when no valid response arrives before the deadline. */
export type QueryStatus = (
  location: Omit<TargetLocation, 'allocationVersion'>,
) => Promise<TargetStatus>;

/** Client for status queries, with its own connection pool. */
export interface StatusClient {
  queryStatus: QueryStatus;
  close(): Promise<void>;
}

/** Creates the client for status queries. A query that times out closes its connection. */
export function createStatusClient(
  timers: TimerService,
  deadlineMs = PROBE_DEADLINE_MS,
): StatusClient {
  const dispatcher = new Agent({
    connections: 1,
    pipelining: 1,
    maxResponseSize: MAX_STATUS_BYTES,
  });
  return {
    async queryStatus(location) {
      const abort = new AbortController();
      const cancel = timers.scheduleOnce(deadlineMs, () => abort.abort());
      try {
        const { statusCode, body } = await request(`${formatOrigin(location)}/status`, {
          dispatcher,
          signal: abort.signal,
        });
        const value = await body.json();
        if (statusCode !== HTTP_OK)
          throw new Error(`the status query returned status ${statusCode}`);
        return statusSchema.parse(value);
      } finally {
        cancel();
      }
    },
    close: () => dispatcher.destroy(),
  };
}
