import type { TimerService } from '../timers/index.ts';
import type { Peer, PeerStatus, RelayedMember } from './types.ts';

/** The other gateways that have not timed out. */
export interface MemberTable {
  /** Records a gateway last heard `ageMs` ago; returns whether it is new or has restarted. */
  addMember(status: PeerStatus, ageMs: number): boolean;
  /** Marks a gateway as timed out unless a later packet is known; removeTimedOut then removes it. */
  markLost(member: RelayedMember): void;
  /** Removes the gateways last heard more than `afterMs` ago, and returns them. */
  removeTimedOut(afterMs: number): Peer[];
  findPeer(vmName: string): Peer | undefined;
  listPeers(): Peer[];
  countPeers(): number;
  /** Increases when a gateway is added, restarts, is removed or changes its state. */
  getRevision(): number;
}

/** Creates an empty table, which never contains this gateway itself. */
export function createMemberTable(
  vmName: string,
  timers: Pick<TimerService, 'getMonotonicMs'>,
): MemberTable {
  const peers = new Map<string, Peer>();
  let revision = 0;

  return {
    addMember(status, ageMs) {
      if (status.vmName === vmName) return false;
      const known = peers.get(status.vmName);
      const heardMs = timers.getMonotonicMs() - ageMs;
      const isNew = known?.status.incarnation !== status.incarnation;
      if (known !== undefined) {
        if (known.status.incarnation > status.incarnation) return false;
        if (!isNew && known.heardMs >= heardMs) return false;
      }
      if (isNew || known?.status.state !== status.state) revision++;
      peers.set(status.vmName, { status, heardMs });
      return isNew;
    },
    markLost({ status, ageMs }) {
      const known = peers.get(status.vmName);
      if (known === undefined || known.status.incarnation > status.incarnation) return;
      const heardMs = timers.getMonotonicMs() - ageMs;
      if (known.status.incarnation === status.incarnation && known.heardMs > heardMs) return;
      // The next call of removeTimedOut removes it.
      peers.set(status.vmName, { status: known.status, heardMs: -Infinity });
    },
    removeTimedOut(afterMs) {
      const now = timers.getMonotonicMs();
      const timedOut = [...peers.values()].filter(({ heardMs }) => now - heardMs > afterMs);
      timedOut.forEach(({ status }) => peers.delete(status.vmName));
      if (timedOut.length > 0) revision++;
      return timedOut;
    },
    findPeer: (name) => peers.get(name),
    listPeers: () => [...peers.values()],
    countPeers: () => peers.size,
    getRevision: () => revision,
  };
}
