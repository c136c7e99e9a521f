import { BlockList, isIPv6 } from 'node:net';
import type { EntryEndpoint } from '../caller/index.ts';
import { createError, ErrorKind } from '../errors/index.ts';

const MAX_PORT = 65_535;

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/** Returns true for IPv4 and IPv6 loopback addresses. */
export function isLoopback(address: string): boolean {
  return loopback.check(address, isIPv6(address) ? 'ipv6' : 'ipv4');
}

/**
 * Throws `UsageInvalid` for seeds that are not loopback addresses, so that a scenario file alone can
 * never put load on another machine.
 */
export function checkSeeds(seeds: readonly EntryEndpoint[]): void {
  const remote = seeds.find(({ address }) => !isLoopback(address));
  if (remote === undefined) return;
  const problem = `Seed ${remote.address} is not a loopback address; pass it with --target.`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

/** Parses the value of `--target ADDRESS:PORT`; throws `UsageInvalid`. */
export function parseTarget(text: string): EntryEndpoint {
  const separator = text.lastIndexOf(':');
  const address = text.slice(0, Math.max(0, separator)).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(separator + 1));
  if (address !== '' && Number.isInteger(port) && port > 0 && port <= MAX_PORT) {
    return { address, port };
  }
  throw createError(ErrorKind.UsageInvalid, {
    problem: `"${text}" does not have the form ADDRESS:PORT.`,
  });
}
