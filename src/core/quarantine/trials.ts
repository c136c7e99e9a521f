import type { QuarantineEntry } from './quarantine-list.ts';
import { getTrialMs } from './quarantine-list.ts';
import type { FollowedRequest, PartKey } from './types.ts';

/** Chooses the requests with which quarantined sets are tried again, one at a time. */
export interface Trials {
  /** Whether a request may be the trial of a set, which it then is until it ends. */
  take(entry: QuarantineEntry, request: FollowedRequest): boolean;
  isTrial(request: FollowedRequest): boolean;
  /** Ends the trials that a request is. */
  end(request: FollowedRequest): void;
  /** Ends the trial of a set that has been cleared. */
  clear(entry: QuarantineEntry): void;
}

/** Dependencies of the trials. */
export interface TrialsOptions {
  getMonotonicMs(): number;
  /** Whether this gateway is the one that may try the set with a key. */
  isTrialOwner(key: string): boolean;
  handleTrial(entry: QuarantineEntry): void;
}

function formatKey(parts: readonly PartKey[]): string {
  return parts.join(' ');
}

/** Creates the trials; none is running. */
export function createTrials(options: TrialsOptions): Trials {
  const running = new Map<string, FollowedRequest>();

  return {
    take(entry, request) {
      // A request that has lost its target may have crashed it, and is not tried at another one.
      if (request.wasLost || options.getMonotonicMs() < getTrialMs(entry)) return false;
      const key = formatKey(entry.parts);
      const known = running.get(key);
      if (known !== undefined) return known === request;
      if (!options.isTrialOwner(key)) return false;
      running.set(key, request);
      options.handleTrial(entry);
      return true;
    },
    isTrial: (request) => [...running.values()].includes(request),
    end(request) {
      for (const [key, trial] of running) if (trial === request) running.delete(key);
    },
    clear: ({ parts }) => {
      running.delete(formatKey(parts));
    },
  };
}
