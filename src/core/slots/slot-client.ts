import type { DocumentStore } from '../documents/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { PeerLinks } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createGranterLink } from './granter-link.ts';
import type { GranterLink } from './granter-link.ts';
import { findGranterVm, findSlotPlace } from './slot-domains.ts';
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
  const granterLinks = new Map<string, GranterLink>();

  const getLink = (granter: string): GranterLink => {
    const link = granterLinks.get(granter) ?? createGranterLink({ ...options, granter });
    granterLinks.set(granter, link);
    return link;
  };

  const closeIdleLinks = (granter: string): void => {
    granterLinks.forEach((link, name) => {
      if (name === granter || !link.isIdle()) return;
      link.close();
      granterLinks.delete(name);
    });
  };

  return {
    async takeSlot(vm) {
      const slotPlace = findSlotPlace(documents, vm);
      if (slotPlace === undefined) return undefined;
      const granter = findGranterVm(documents, slotPlace.fabricDomain);
      if (granter === undefined) return undefined;
      closeIdleLinks(granter);
      const link = getLink(granter);
      const id = await new Promise<string | undefined>((resolve) => {
        link.addWaiter(vm, resolve);
      });
      if (id === undefined) return undefined;
      const slot: Slot = { id, vm, release: () => link.releaseSlot(vm, id) };
      return slot;
    },
    close() {
      granterLinks.forEach((link) => link.close());
      granterLinks.clear();
    },
  };
}
