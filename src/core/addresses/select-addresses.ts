import type { Member } from '../rpc/index.ts';
import { ADDRESS_LIFETIME_MS } from './consts.ts';
import { selectCustomerDaemons } from './customer-daemons.ts';
import type { AddressResponse, AddressInput } from './types.ts';

enum Distance {
  SameZone = 0,
  SameRegion = 1,
  OtherRegion = 2,
}

/** Returns the region of the caller's zone, from the declared zones or from a daemon in the zone. */
function findRegion(input: AddressInput): string | undefined {
  const row = input.availabilityZones.find((zone) => zone.name === input.availabilityZone);
  const member = input.members.find(
    (candidate) => candidate.availabilityZone === input.availabilityZone,
  );
  return row?.region ?? member?.region;
}

function computeDistance(
  input: AddressInput,
  region: string | undefined,
  member: Member,
): Distance {
  if (member.availabilityZone === input.availabilityZone) return Distance.SameZone;
  return member.region === region ? Distance.SameRegion : Distance.OtherRegion;
}

/** Returns the addresses that a caller of a customer should use, nearest availability zone first. */
export function selectAddresses(input: AddressInput): AddressResponse {
  const region = findRegion(input);
  const distances = [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion];
  const members = selectCustomerDaemons(input);
  const nearestFirst = distances.flatMap((distance) =>
    members.filter((member) => computeDistance(input, region, member) === distance),
  );
  return {
    addresses: nearestFirst.map((member) => ({
      daemon: member.name,
      address: member.address,
      port: member.callerPort,
      availabilityZone: member.availabilityZone,
    })),
    lifetimeMs: ADDRESS_LIFETIME_MS,
    requestIdPrefix: input.requestIdPrefix,
  };
}
