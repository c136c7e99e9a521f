import { z } from 'zod';
import { GroupState } from '../core/fleet/index.ts';
import type { Target } from '../core/fleet/index.ts';
import { parseAddress } from '../core/peers/address.ts';
import type { StoreObject } from '../core/store/index.ts';

const READY_STATE = 'ready';
const DRAINING_STATE = 'draining';

/** Largest rank of a group member; ranks index arrays, so that an entry must not choose any number. */
const MAX_RANK = 1_023;

const groupSchema = z.object({
  name: z.string(),
  epoch: z.int().nonnegative(),
  rank: z.int().min(0).max(MAX_RANK),
  state: z.enum(GroupState),
});

/** Fields that an engine reports about itself, in its store entry and at `/report`. */
export const engineStateSchema = z.object({
  domain: z.union([z.string(), z.number()]).optional(),
  staged: z.array(z.string()).nullish(),
  models: z.array(z.object({ name: z.string() })).nullish(),
  group: groupSchema.nullish(),
  born: z.number().optional(),
});

const targetSchema = engineStateSchema.extend({
  service: z.string(),
  address: z.string().refine((address) => parseAddress(address) !== undefined),
  zone: z.string(),
  state: z.enum([READY_STATE, DRAINING_STATE]),
  cold_remaining_ms: z.number().default(0),
});

/**
 * Decodes an object of the kind `servers`; `nowMs` is the monotonic time at which it was received.
 * Returns undefined if its `spec` is invalid.
 */
export function decodeTarget(object: StoreObject, nowMs: number): Target | undefined {
  const result = targetSchema.safeParse(object.spec);
  if (!result.success) return undefined;
  const entry = result.data;
  return {
    id: object.name,
    service: entry.service,
    address: entry.address,
    availabilityZone: entry.zone,
    isLeaving: entry.state === DRAINING_STATE,
    coldRemainingMs: entry.cold_remaining_ms,
    receivedMs: nowMs,
    startedWallMs: entry.born ?? 0,
    fabricDomain: entry.domain === undefined ? '' : String(entry.domain),
    stagedModels: entry.staged ?? [],
    currentModel: entry.models?.[0]?.name,
    group: entry.group ?? undefined,
  };
}
