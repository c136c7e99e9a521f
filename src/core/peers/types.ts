import type { FeedProgress } from '../feed/index.ts';
import type { TargetLoad } from '../fleet/index.ts';

/** Whether a gateway takes callers. */
export enum PeerState {
  Starting = 'starting',
  Ready = 'ready',
  Leaving = 'leaving',
}

/** What a gateway tells the others about itself. */
export interface PeerStatus {
  vmName: string;
  /** Wall time of the start of the process; tells restarts apart. */
  incarnation: number;
  /** `host:port` that callers connect to. */
  callersAddress: string;
  /** `host:port` of the exchange between gateways. */
  peerAddress: string;
  availabilityZone: string;
  /** What the VM can carry, relative to the others. */
  capacity: number;
  state: PeerState;
  hasRequests: boolean;
  /** Term of the duty to form groups; 0 if the gateway does not hold it. */
  dutyTerm: number;
}

/** What a gateway, or several, have in progress and have noticed. */
export interface PeerWork {
  loads: TargetLoad[];
  /** Targets found silent or unreachable. */
  suspectIds: string[];
}

/** A gateway as a hub has heard of it. */
export interface RelayedMember {
  status: PeerStatus;
  /** Time since the gateway itself was heard. */
  ageMs: number;
  isLost: boolean;
}

/** What a hub has heard of other gateways. */
export interface PeerDigest extends PeerWork {
  members: RelayedMember[];
  /** Whether it covers all gateways, and not only those of the sender's zone. */
  isComplete: boolean;
}

/** One datagram between gateways. */
export interface PeerPacket {
  sender: PeerStatus;
  work: PeerWork;
  digest: PeerDigest | undefined;
  progress: FeedProgress[];
}

/** Another gateway, as it was last heard of. */
export interface Peer {
  status: PeerStatus;
  /** Monotonic time at which the gateway itself was heard, by this process or by a hub. */
  heardMs: number;
}
