import type { AdvisoryNotices } from '../advisories/index.ts';
import type { GatewayUsage } from '../duties/index.ts';
import type { PromptEvidence } from '../quarantine/index.ts';
import type { Demand } from '../placement/index.ts';
import type { FeedProgress } from '../store-feed/index.ts';
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
  /** CPU capacity of the VM in millicores; the VMs with the most become hubs. */
  capacity: number;
  /** Link of the VM in megabits a second; 0 if the gateway does not state it. */
  linkMbps: number;
  /** Requests of callers in progress. */
  inProgress: number;
  /** Share of the memory that is in use, from 0 to 1. */
  memoryShare: number;
  state: PeerState;
  /** Whether a caller's request has arrived since the process started. */
  hasRequests: boolean;
  /** Term in which the gateway is the leader, which forms the groups; 0 if it is not. */
  dutyTerm: number;
}

/** Requests in progress and suspect targets of one gateway, or of several combined. */
export interface PeerLoadReport {
  loads: TargetLoad[];
  /** Ids of targets that do not respond or cannot be reached. */
  suspectIds: string[];
  /** Requests that arrive, also those that are refused. */
  demands: Demand[];
}

/** Another gateway's state as relayed by a hub. */
export interface RelayedPeer {
  status: PeerStatus;
  /** Time since the gateway's last packet; for a lost one, since a hub found it lost. */
  ageMs: number;
  isLost: boolean;
}

/** A hub's summary of other gateways' states and loads. */
export interface PeerDigest extends PeerLoadReport {
  peers: RelayedPeer[];
  /** Whether it covers all gateways, or only those of the sender's zone that are not hubs. */
  isComplete: boolean;
}

/** One datagram between gateways. */
export interface PeerPacket {
  sender: PeerStatus;
  loadReport: PeerLoadReport;
  digest: PeerDigest | undefined;
  /** Crashes and parts of prompts that the sender knows of, also from others. */
  evidence: PromptEvidence;
  /** What the sender knows that targets say, also from others. */
  advisories: AdvisoryNotices;
  /** Time of the sender's fleet clock. */
  fleetMs: number;
  /** Counts of the sender, and of lost gateways that it has heard. */
  usage: GatewayUsage[];
  progress: FeedProgress[];
}

/** Latest known state of another gateway. */
export interface Peer {
  status: PeerStatus;
  /** Monotonic time of the gateway's last packet, received by this process or by a hub. */
  heardMs: number;
}
