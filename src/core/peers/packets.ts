import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  GatewayPacketSchema,
  GatewayState,
} from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import type { PeerStatus } from './types.ts';
import { PeerState } from './types.ts';

const WIRE_STATE: Readonly<Record<PeerState, GatewayState>> = {
  [PeerState.Starting]: GatewayState.STARTING,
  [PeerState.Ready]: GatewayState.READY,
  [PeerState.Leaving]: GatewayState.LEAVING,
};

function decodeState(state: GatewayState): PeerState {
  if (state === GatewayState.READY) return PeerState.Ready;
  return state === GatewayState.LEAVING ? PeerState.Leaving : PeerState.Starting;
}

/** Encodes a status as one datagram. */
export function encodePacket(status: PeerStatus): Uint8Array {
  return toBinary(
    GatewayPacketSchema,
    create(GatewayPacketSchema, {
      ...status,
      incarnation: BigInt(status.incarnation),
      dutyTerm: BigInt(status.dutyTerm),
      state: WIRE_STATE[status.state],
    }),
  );
}

/** Decodes a datagram; throws if it is none of ours. */
export function decodePacket(bytes: Uint8Array): PeerStatus {
  const packet = fromBinary(GatewayPacketSchema, bytes);
  return {
    vmName: packet.vmName,
    incarnation: Number(packet.incarnation),
    callersAddress: packet.callersAddress,
    peerAddress: packet.peerAddress,
    state: decodeState(packet.state),
    hasRequests: packet.hasRequests,
    dutyTerm: Number(packet.dutyTerm),
    loads: packet.loads.map(({ targetId, inFlight }) => ({ targetId, inFlight })),
    suspectIds: packet.suspectIds,
  };
}
