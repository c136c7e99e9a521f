import { selectByRendezvous } from '../rendezvous/index.ts';
import type { Member } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import { RELAYS_PER_ZONE } from './consts.ts';

/**
 * Returns the names of the daemons of a zone that act as relays, that is, watch the platform.
 * Leaving daemons hand over this role while they still serve, unless the zone has no other daemon.
 */
export function selectRelays(members: readonly Member[], availabilityZone: string): string[] {
  const live = members.filter(
    (member) => member.availabilityZone === availabilityZone && member.state !== MemberState.DEAD,
  );
  const staying = live.filter((member) => member.state !== MemberState.LEAVING);
  const names = (staying.length > 0 ? staying : live).map((member) => member.name);
  return selectByRendezvous(`relay/${availabilityZone}`, names, RELAYS_PER_ZONE);
}
