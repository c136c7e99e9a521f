import { ALLOCATION_KIND } from '../allocation/index.ts';
import { CONFIG_KIND } from '../declarations/index.ts';
import type { DocumentStore } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { PlatformClient } from '../object-api/index.ts';
import type { TimerService } from '../timers/index.ts';
import { ACTIVATION_DELAY_MS } from './consts.ts';
import { selectRelays } from './select-relays.ts';
import { watchKind } from './watch-kind.ts';

const WATCHED_KINDS: readonly string[] = [CONFIG_KIND, ALLOCATION_KIND];
const PART = 'relay';

/** Dependencies of the relay of a daemon. */
export interface PlatformRelayOptions {
  membership: MembershipView;
  platform: Pick<PlatformClient, 'watchKind'>;
  store: DocumentStore;
  timers: TimerService;
  /** Returns a number in the range [0, 1). */
  random: () => number;
  recorder?: Pick<EventRecorder, 'record'>;
}

/**
 * Watches the platform while this daemon is one of the relays of its availability zone. The other
 * daemons fetch the changes from daemons that already hold them.
 */
export interface PlatformRelay {
  /** Tells whether this daemon currently watches the platform. */
  isActive(): boolean;
  /** Stops watching permanently. */
  close(): void;
}

/** Starts the relay of a daemon; it starts and stops watching as the zone members change. */
export function createPlatformRelay(options: PlatformRelayOptions): PlatformRelay {
  const { membership, recorder, timers } = options;
  let watching: AbortController | undefined;
  let cancelActivation: (() => void) | undefined;
  let isClosed = false;

  const startWatching = (): void => {
    cancelActivation = undefined;
    const abort = new AbortController();
    watching = abort;
    recorder?.record(PART, 'relay steps in');
    WATCHED_KINDS.forEach((kind) => {
      void watchKind({ ...options, kind }, abort.signal);
    });
  };

  const stopWatching = (): void => {
    watching?.abort();
    watching = undefined;
    recorder?.record(PART, 'relay steps out');
  };

  const isSelected = (): boolean => {
    const { availabilityZone = '' } = membership.findMember(membership.self) ?? {};
    const relays = selectRelays(membership.listLiveMembers(), availabilityZone);
    return !isClosed && relays.includes(membership.self);
  };

  const updateRole = (): void => {
    const isRelay = isSelected();
    if (isRelay && watching === undefined) {
      cancelActivation ??= timers.scheduleOnce(ACTIVATION_DELAY_MS, startWatching);
      return;
    }
    if (isRelay) return;
    cancelActivation?.();
    cancelActivation = undefined;
    if (watching !== undefined) stopWatching();
  };

  const unsubscribe = membership.subscribe(updateRole);
  updateRole();

  return {
    isActive: () => watching !== undefined,
    close() {
      isClosed = true;
      unsubscribe();
      updateRole();
    },
  };
}
