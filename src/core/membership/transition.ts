import { MemberState } from '../rpc/index.ts';
import { createDraft, buildMembershipStep } from './draft.ts';
import { handlePacket, publishOwnState } from './packets.ts';
import type {
  MembershipContext,
  MembershipMessage,
  MembershipState,
  MembershipStep,
} from './state.ts';
import { MembershipMessageKind } from './state.ts';
import { handleTick } from './tick.ts';

/**
 * Applies one message to the membership state. Returns the next state, the packets to send and the
 * members that changed; the input state is not modified.
 */
export function applyMembershipMessage(
  state: MembershipState,
  message: MembershipMessage,
  context: MembershipContext,
): MembershipStep {
  const draft = createDraft(state, context);
  switch (message.kind) {
    case MembershipMessageKind.Tick:
      handleTick(draft);
      break;
    case MembershipMessageKind.Packet:
      handlePacket(draft, message);
      break;
    case MembershipMessageKind.Leave:
      if (state.self.state === MemberState.ALIVE) publishOwnState(draft, MemberState.LEAVING);
      break;
    default:
      // The final record says dead, so that other members need not detect the stop by failed pings.
      publishOwnState(draft, MemberState.DEAD);
      break;
  }
  return buildMembershipStep(draft);
}
