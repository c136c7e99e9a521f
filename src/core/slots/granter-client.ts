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
export interface GranterClientOptions {
  timers: TimerService;
  membership: MembershipView;
  links: PeerLinks;
  granter: string;
}

/** Requests, renews and returns the slots that this daemon holds from one granter. */
export interface GranterClient {
  addWaiter(vm: string, waiter: SlotWaiter): void;
  releaseSlot(vm: string, id: string): void;
  isIdle(): boolean;
  close(): void;
}

interface TargetRecord {
  waiters: SlotWaiter[];
  held: Set<string>;
  released: Set<string>;
}

/** Creates the client of a granter; at most one call is in flight, so responses arrive in order. */
export function createGranterClient(options: GranterClientOptions): GranterClient {
  const { timers, membership, links, granter } = options;
  const records = new Map<string, TargetRecord>();
  let isCalling = false;
  let answeredMs = timers.getMonotonicMs();
  let cancelBatch: Unsubscribe | undefined;

  const getRecord = (vm: string): TargetRecord => {
    const record = records.get(vm) ?? { waiters: [], held: new Set(), released: new Set() };
    records.set(vm, record);
    return record;
  };

  const hasWork = (): boolean =>
    [...records.values()].some(({ waiters, released }) => waiters.length > 0 || released.size > 0);

  const schedule = (): void => {
    if (isCalling || cancelBatch !== undefined) return;
    cancelBatch = timers.scheduleOnce(SLOT_BATCH_MS, () => {
      cancelBatch = undefined;
      void runCall();
    });
  };

  const handleGrant = (grant: SlotGrant, sentMs: number, waiters: SlotWaiter[]): void => {
    const record = getRecord(grant.vm);
    const validIds = new Set(grant.slots);
    [...record.held].filter((id) => !validIds.has(id)).forEach((id) => record.held.delete(id));
    const endMs = sentMs + grant.lifetimeMs - SLOT_SEND_MARGIN_MS;
    const isUsable = grant.granter && timers.getMonotonicMs() < endMs;
    const added = grant.slots.filter((id) => !record.held.has(id) && !record.released.has(id));
    const assigned = isUsable ? added.slice(0, waiters.length) : [];
    // Slots that no waiting request can use are returned to the granter.
    added.slice(assigned.length).forEach((id) => record.released.add(id));
    assigned.forEach((id) => record.held.add(id));
    waiters.forEach((waiter, index) => waiter(assigned[index]));
  };

  const sendRequest = async (vms: readonly string[]): Promise<SlotGrant[]> => {
    const member = membership.findMember(granter);
    if (member === undefined) return [];
    const requests = vms.map((vm) => {
      const { waiters, held, released } = getRecord(vm);
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
    records.forEach((record) => {
      record.waiters.forEach((waiter) => waiter(undefined));
      record.waiters = [];
    });
    // When no call was answered for the lifetime of a slot, all slots have expired at the granter.
    if (timers.getMonotonicMs() - answeredMs > SLOT_LIFETIME_MS) records.clear();
  };

  async function runCall(): Promise<void> {
    isCalling = true;
    const sentMs = timers.getMonotonicMs();
    const sent = [...records.entries()].map(([vm, record]) => ({
      vm,
      waiters: record.waiters,
      released: [...record.released],
    }));
    const call = sendRequest(sent.map(({ vm }) => vm)).catch(() => undefined);
    sent.forEach(({ vm }) => {
      getRecord(vm).waiters = [];
    });
    const grants = await call;
    sent.forEach(({ vm, waiters, released }) => {
      const grant = grants?.find((candidate) => candidate.vm === vm);
      if (grant === undefined) {
        waiters.forEach((waiter) => waiter(undefined));
        return;
      }
      handleGrant(grant, sentMs, waiters);
      const record = getRecord(vm);
      released.forEach((id) => record.released.delete(id));
      if (!grant.granter) record.released.clear();
      if (record.held.size + record.released.size + record.waiters.length === 0) records.delete(vm);
    });
    isCalling = false;
    if (grants === undefined) handleFailure();
    else {
      answeredMs = sentMs;
      if (hasWork()) schedule();
    }
  }

  const cancelRenewal = timers.subscribe(SLOT_RENEWAL_MS, () => {
    if (records.size > 0) schedule();
  });

  return {
    addWaiter(vm, waiter) {
      // Without slots no calls were made, so the time since the last answered call is meaningless.
      if (records.size === 0) answeredMs = timers.getMonotonicMs();
      getRecord(vm).waiters.push(waiter);
      schedule();
    },
    releaseSlot(vm, id) {
      const record = getRecord(vm);
      // A slot that is no longer held has already expired at the granter.
      if (!record.held.delete(id)) return;
      record.released.add(id);
      schedule();
    },
    isIdle: () => records.size === 0 && !isCalling,
    close() {
      cancelRenewal();
      cancelBatch?.();
      records.forEach(({ waiters }) => waiters.forEach((waiter) => waiter(undefined)));
      records.clear();
    },
  };
}
