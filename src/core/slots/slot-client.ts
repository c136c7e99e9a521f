import type { DocumentStore } from '../documents/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { PeerLinks } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createGranterClient } from './granter-client.ts';
import type { GranterClient } from './granter-client.ts';
import { findGranterVm, findSlotTarget } from './slot-domains.ts';
import type { Slot, SlotClient } from './types.ts';

/** Options of `createSlotClient`. */
export interface SlotClientOptions {
  timers: TimerService;
  documents: DocumentStore;
  membership: MembershipView;
  links: PeerLinks;
}

/**
 * Creates a slot client, which uses one granter client per granter. The granter of a domain is the
 * entry daemon on the VM of the lease holder; a daemon is named after its VM.
 */
export function createSlotClient(options: SlotClientOptions): SlotClient {
  const { documents } = options;
  const granterClients = new Map<string, GranterClient>();

  const getGranterClient = (granter: string): GranterClient => {
    const client = granterClients.get(granter) ?? createGranterClient({ ...options, granter });
    granterClients.set(granter, client);
    return client;
  };

  const closeIdleClients = (granter: string): void => {
    granterClients.forEach((client, name) => {
      if (name === granter || !client.isIdle()) return;
      client.close();
      granterClients.delete(name);
    });
  };

  return {
    async takeSlot(vm) {
      const slotTarget = findSlotTarget(documents, vm);
      if (slotTarget === undefined) return undefined;
      const granter = findGranterVm(documents, slotTarget.fabricDomain);
      if (granter === undefined) return undefined;
      closeIdleClients(granter);
      const client = getGranterClient(granter);
      const id = await new Promise<string | undefined>((resolve) => {
        client.addWaiter(vm, resolve);
      });
      if (id === undefined) return undefined;
      const slot: Slot = { id, vm, release: () => client.releaseSlot(vm, id) };
      return slot;
    },
    close() {
      granterClients.forEach((client) => client.close());
      granterClients.clear();
    },
  };
}
