import type { PeerStatus } from '../peers/index.ts';
import { PeerState } from '../peers/index.ts';
import type { DirectoryResponse } from './types.ts';

/** Lifetime of a directory response; some callers keep it three times as long. */
const DIRECTORY_TTL_MS = 2_000;
/** Maximum number of addresses in a directory response. */
const MAX_DIRECTORY_ADDRESSES = 64;

/** Builds the response with the ready gateways, in their order; undefined if none is ready. */
export function buildDirectoryResponse(
  gateways: readonly Pick<PeerStatus, 'state' | 'callersAddress'>[],
  maxTtlMs: number,
): DirectoryResponse | undefined {
  const callersAddresses = gateways
    .filter(({ state }) => state === PeerState.Ready)
    .map(({ callersAddress }) => callersAddress)
    .slice(0, MAX_DIRECTORY_ADDRESSES);
  if (callersAddresses.length === 0) return undefined;
  return { callersAddresses, ttlMs: Math.min(DIRECTORY_TTL_MS, maxTtlMs) };
}
