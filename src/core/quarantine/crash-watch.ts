import type { Target } from '../fleet/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { LostRequest, TargetCrash } from './types.ts';

/** Dependencies of the crash watch. */
export interface CrashWatchOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  /** Resolves to whether a process accepts connections at an address (`host:port`). */
  probeListener(address: string): Promise<boolean>;
  handleCrash(crash: TargetCrash): void;
}

/** Tells the crash of a target from the loss of single connections. */
export interface CrashWatch {
  /** Records a request whose connection its target closed early. */
  recordLostRequest(target: Target, request: LostRequest): void;
}

/** Time in which the other connections of a crashed target end too. */
const COLLECT_MS = 20;
/** Further requests of one crash are not recorded. */
const MAX_REQUESTS = 64;

function isEvidence({ hasBegun, sharedPartIds }: LostRequest): boolean {
  return !hasBegun && sharedPartIds.length > 0;
}

/**
 * Creates the watch. A crash is reported if a request with a prompt was lost before its response had
 * begun, and the target accepts no connections any more.
 */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { timers, probeListener, handleCrash } = options;
  const pending = new Map<string, TargetCrash>();

  const confirmCrash = async (crash: TargetCrash): Promise<void> => {
    await timers.waitFor(COLLECT_MS);
    const isListening =
      !crash.requests.some(isEvidence) || (await probeListener(crash.target.address));
    pending.delete(crash.target.id);
    if (!isListening) handleCrash(crash);
  };

  return {
    recordLostRequest(target, request) {
      const known = pending.get(target.id);
      if (known === undefined) {
        const crash = { target, atMs: timers.getMonotonicMs(), requests: [request] };
        pending.set(target.id, crash);
        void confirmCrash(crash);
      } else if (known.requests.length < MAX_REQUESTS) known.requests.push(request);
    },
  };
}
