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
  state: PeerState;
  hasRequests: boolean;
  /** Term of the duty to form groups; 0 if the gateway does not hold it. */
  dutyTerm: number;
  loads: TargetLoad[];
  suspectIds: string[];
}

/** Another gateway, as its last packet described it. */
export interface Peer {
  status: PeerStatus;
  heardMs: number;
}
