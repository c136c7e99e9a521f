import { create } from '@bufbuild/protobuf';
import type { MembershipView } from '../membership/index.ts';
import type { PeerLinks, SlotGrant } from '../rpc/index.ts';
import { GrantSlotsRequestSchema, SlotRequestSchema } from '../rpc/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import {
  GRANT_CALL_DEADLINE_MS,
  SLOT_BATCH_MS,
  SLOT_LIFETIME_MS,
  SLOT_RENEWAL_MS,
  SLOT_SEND_MARGIN_MS,
} from './consts.ts';

/** Receives the id of the slot for a waiting request, or undefined when there is none. */
export type SlotWaiter = (id: string | undefined) => void;

/** Options of `createGranterClient`. */
export interface GranterLinkOptions {
  timers: TimerService;
  membership: MembershipView;
  links: PeerLinks;
  granter: string;
}

/** Requests, renews and returns the slots that this daemon holds from one granter. */
export interface GranterLink {
  addWaiter(vm: string, waiter: SlotWaiter): void;
  releaseSlot(vm: string, id: string): void;
  isIdle(): boolean;
  close(): void;
}

interface TargetBook {
  waiters: SlotWaiter[];
  held: Set<string>;
  released: Set<string>;
}

/** Creates the client of a granter; at most one call is in flight, so responses arrive in order. */
export function createGranterLink(options: GranterLinkOptions): GranterLink {
  const { timers, membership, links, granter } = options;
  const books = new Map<string, TargetBook>();
  let isCalling = false;
  let answeredMs = timers.getMonotonicMs();
  let cancelBatch: Unsubscribe | undefined;

  const getBook = (vm: string): TargetBook => {
    const book = books.get(vm) ?? { waiters: [], held: new Set(), released: new Set() };
    books.set(vm, book);
    return book;
  };

  const hasWork = (): boolean =>
    [...books.values()].some(({ waiters, released }) => waiters.length > 0 || released.size > 0);

  const schedule = (): void => {
    if (isCalling || cancelBatch !== undefined) return;
    cancelBatch = timers.scheduleOnce(SLOT_BATCH_MS, () => {
      cancelBatch = undefined;
      void runCall();
    });
  };

  const handleGrant = (grant: SlotGrant, sentMs: number, waiters: SlotWaiter[]): void => {
    const book = getBook(grant.vm);
    const inForce = new Set(grant.slots);
    [...book.held].filter((id) => !inForce.has(id)).forEach((id) => book.held.delete(id));
    const endMs = sentMs + grant.lifetimeMs - SLOT_SEND_MARGIN_MS;
    const isUsable = grant.granter && timers.getMonotonicMs() < endMs;
    const added = grant.slots.filter((id) => !book.held.has(id) && !book.released.has(id));
    const given = isUsable ? added.slice(0, waiters.length) : [];
    // Slots that no waiting request can use are returned to the granter.
    added.slice(given.length).forEach((id) => book.released.add(id));
    given.forEach((id) => book.held.add(id));
    waiters.forEach((waiter, index) => waiter(given[index]));
  };

  const sendRequest = async (vms: readonly string[]): Promise<SlotGrant[]> => {
    const member = membership.findMember(granter);
    if (member === undefined) return [];
    const requests = vms.map((vm) => {
      const { waiters, held, released } = getBook(vm);
      return create(SlotRequestSchema, {
        vm,
        renew: [...held],
        release: [...released],
        want: waiters.length,
      });
    });
    const abort = new AbortController();
    const cancel = timers.scheduleOnce(GRANT_CALL_DEADLINE_MS, () => abort.abort());
    try {
      const client = links.getClient(member.address, member.peerPort);
      const request = create(GrantSlotsRequestSchema, { daemon: membership.self, requests });
      const { grants } = await client.grantSlots(request, { signal: abort.signal });
      return grants;
    } finally {
      cancel();
    }
  };

  const handleFailure = (): void => {
    // Requests that arrived during the failed call are not made to wait for the next call.
    books.forEach((book) => {
      book.waiters.forEach((waiter) => waiter(undefined));
      book.waiters = [];
    });
    // When no call was answered for the lifetime of a slot, all slots have expired at the granter.
    if (timers.getMonotonicMs() - answeredMs > SLOT_LIFETIME_MS) books.clear();
  };

  async function runCall(): Promise<void> {
    isCalling = true;
    const sentMs = timers.getMonotonicMs();
    const sent = [...books.entries()].map(([vm, book]) => ({
      vm,
      waiters: book.waiters,
      released: [...book.released],
    }));
    const call = sendRequest(sent.map(({ vm }) => vm)).catch(() => undefined);
    sent.forEach(({ vm }) => {
      getBook(vm).waiters = [];
    });
    const grants = await call;
    sent.forEach(({ vm, waiters, released }) => {
      const grant = grants?.find((candidate) => candidate.vm === vm);
      if (grant === undefined) {
        waiters.forEach((waiter) => waiter(undefined));
        return;
      }
      handleGrant(grant, sentMs, waiters);
      const book = getBook(vm);
      released.forEach((id) => book.released.delete(id));
      if (!grant.granter) book.released.clear();
      if (book.held.size + book.released.size + book.waiters.length === 0) books.delete(vm);
    });
    isCalling = false;
    if (grants === undefined) handleFailure();
    else {
      answeredMs = sentMs;
      if (hasWork()) schedule();
    }
  }

  const cancelRenewal = timers.subscribe(SLOT_RENEWAL_MS, () => {
    if (books.size > 0) schedule();
  });

  return {
    addWaiter(vm, waiter) {
      // Without slots no calls were made, so the time since the last answered call is meaningless.
      if (books.size === 0) answeredMs = timers.getMonotonicMs();
      getBook(vm).waiters.push(waiter);
      schedule();
    },
    releaseSlot(vm, id) {
      const book = getBook(vm);
      // A slot that is no longer held has already expired at the granter.
      if (!book.held.delete(id)) return;
      book.released.add(id);
      schedule();
    },
    isIdle: () => books.size === 0 && !isCalling,
    close() {
      cancelRenewal();
      cancelBatch?.();
      books.forEach(({ waiters }) => waiters.forEach((waiter) => waiter(undefined)));
      books.clear();
    },
  };
}
