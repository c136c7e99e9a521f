import type { LimitNotice } from '../advisories/index.ts';
import type { RequestLimit } from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import { toUint32, toUint53 } from './uint32.ts';

const SECONDS_PER_KILOSECOND = 1_000;

/** Encodes the limit of a target. */
export function encodeLimit({ targetKey, requestsPerSecond, statedMs }: LimitNotice) {
  return {
    targetKey,
    isLimited: requestsPerSecond !== undefined,
    perKilosecond: toUint32((requestsPerSecond ?? 0) * SECONDS_PER_KILOSECOND),
    statedMs: toUint53(statedMs),
  };
}

/** Decodes the limit of a target. */
export function decodeLimit(limit: RequestLimit): LimitNotice {
  return {
    targetKey: limit.targetKey,
    requestsPerSecond: limit.isLimited ? limit.perKilosecond / SECONDS_PER_KILOSECOND : undefined,
    statedMs: Number(limit.statedMs),
  };
}
