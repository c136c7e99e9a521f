import type { FeedProgress } from '../feed/index.ts';
import type { TargetLoad } from '../fleet/index.ts';

/** Lifecycle state of a gateway; only a ready one is named to callers. */
export enum PeerState {
  Starting = 'starting',
  Ready = 'ready',
  Leaving = 'leaving',
}

/** State that a gateway announces to the other gateways. */
export interface PeerStatus {
  vmName: string;
  /** Wall time of the process start in milliseconds; higher after each restart. */
  incarnation: number;
  /** `host:port` that callers connect to. */
  callersAddress: string;
  /** `host:port` of the UDP socket for packets between gateways. */
  peerAddress: string;
  availabilityZone: string;
  /** Capacity of the VM relative to the other VMs. */
  capacity: number;
  state: PeerState;
  hasRequests: boolean;
  /** Term of the duty to form groups; 0 if the gateway does not hold it. */
  dutyTerm: number;
}

/** Requests in progress and suspect targets of one gateway, or of several combined. */
export interface PeerLoadReport {
  loads: TargetLoad[];
  /** Ids of targets that do not respond or cannot be reached. */
  suspectIds: string[];
}

/** Another gateway's state as relayed by a hub. */
export interface RelayedMember {
  status: PeerStatus;
  /** Time since the last packet of the gateway itself. */
  ageMs: number;
  isLost: boolean;
}

/** A hub's summary of other gateways' states and loads. */
export interface PeerDigest extends PeerLoadReport {
  members: RelayedMember[];
  /** Whether it covers all gateways, or only those of the sender's zone. */
  isComplete: boolean;
}

/** One datagram between gateways. */
export interface PeerPacket {
  sender: PeerStatus;
  loadReport: PeerLoadReport;
  digest: PeerDigest | undefined;
  progress: FeedProgress[];
}

/** Latest known state of another gateway. */
export interface Peer {
  status: PeerStatus;
  /** Monotonic time of the gateway's last packet, received by this process or by a hub. */
  heardMs: number;
}
