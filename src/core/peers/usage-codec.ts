import type { GatewayUsage } from '../duties/index.ts';
import type { GatewayUsage as WireUsage } from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import { MAX_NAME_LENGTH } from './consts.ts';
import { toUint32, toUint53 } from './uint32.ts';

/** Encodes the counts of one gateway in one window. */
export function encodeUsage({ vmName, incarnation, window, counts }: GatewayUsage) {
  return {
    vmName,
    incarnation: toUint53(incarnation),
    window: toUint53(window),
    customers: [...counts].map(([customer, requests]) => ({
      customer,
      requests: toUint32(requests),
    })),
  };
}

/** Decodes the counts of one gateway in one window; throws if a name is too long. */
export function decodeUsage({ vmName, incarnation, window, customers }: WireUsage): GatewayUsage {
  const names = [vmName, ...customers.map(({ customer }) => customer)];
  if (names.some(({ length }) => length > MAX_NAME_LENGTH)) {
    throw new RangeError(`a name has more than ${MAX_NAME_LENGTH} characters`);
  }
  return {
    vmName,
    incarnation: Number(incarnation),
    window: Number(window),
    counts: new Map(customers.map(({ customer, requests }) => [customer, requests])),
  };
}
