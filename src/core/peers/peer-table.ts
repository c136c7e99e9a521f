import type { TimerService } from '../timers/index.ts';
import { MAX_GATEWAYS } from './consts.ts';
import type { Peer, PeerStatus, RelayedPeer } from './types.ts';

/** The other gateways that have not timed out. */
export interface PeerTable {
  /**
   * Records a gateway last heard `ageMs` ago; returns whether it is new or has restarted. Leaves a new
   * one out while `MAX_GATEWAYS` are known.
   */
  addPeer(status: PeerStatus, ageMs: number): boolean;
  /** Removes a gateway unless a later packet is known; removeTimedOut then returns it as well. */
  markLost(peer: RelayedPeer): void;
  /**
   * Removes the gateways last heard more than `afterMs` ago, and returns them with those marked as
   * lost since the last call.
   */
  removeTimedOut(afterMs: number): Peer[];
  findPeer(vmName: string): Peer | undefined;
  listPeers(): Peer[];
  countPeers(): number;
  /** Increases when a gateway is added, restarts, is removed or changes its state. */
  getChangeCount(): number;
}

/** Creates an empty table, which never contains this gateway itself. */
export function createPeerTable(
  vmName: string,
  timers: Pick<TimerService, 'getMonotonicMs'>,
): PeerTable {
  const peers = new Map<string, Peer>();
  /** Gateways marked as lost that the next call of removeTimedOut returns. */
  let lostPeers: Peer[] = [];
  let changeCount = 0;

  return {
    addPeer(status, ageMs) {
      if (status.vmName === vmName) return false;
      const known = peers.get(status.vmName);
      if (known === undefined && peers.size >= MAX_GATEWAYS) return false;
      const heardMs = timers.getMonotonicMs() - ageMs;
      const isNew = known?.status.incarnation !== status.incarnation;
      if (known !== undefined) {
        if (known.status.incarnation > status.incarnation) return false;
        if (!isNew && known.heardMs >= heardMs) return false;
      }
      if (isNew || known?.status.state !== status.state) changeCount++;
      peers.set(status.vmName, { status, heardMs });
      return isNew;
    },
    markLost({ status, ageMs }) {
      const known = peers.get(status.vmName);
      if (known === undefined || known.status.incarnation > status.incarnation) return;
      const heardMs = timers.getMonotonicMs() - ageMs;
      if (known.status.incarnation === status.incarnation && known.heardMs > heardMs) return;
      peers.delete(status.vmName);
      lostPeers.push(known);
      changeCount++;
    },
    removeTimedOut(afterMs) {
      const now = timers.getMonotonicMs();
      const timedOut = [...peers.values()].filter(({ heardMs }) => now - heardMs > afterMs);
      timedOut.forEach(({ status }) => peers.delete(status.vmName));
      if (timedOut.length > 0) changeCount++;
      // A gateway that was heard again after it was marked as lost is not lost any more.
      const lost = lostPeers.filter(({ status }) => !peers.has(status.vmName));
      lostPeers = [];
      return [...timedOut, ...lost];
    },
    findPeer: (name) => peers.get(name),
    listPeers: () => [...peers.values()],
    countPeers: () => peers.size,
    getChangeCount: () => changeCount,
  };
}
