import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';
import { selectGateways } from './select-gateways.ts';
import type {
  CallerLocation,
  DirectoryCandidate,
  DirectoryResponse,
  DirectoryChoice,
} from './types.ts';
import { computeWeights } from './weights.ts';

/** Dependencies of the directory. */
export interface DirectoryOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  logger: Pick<Logger, 'info'>;
  /** Returns a random number from 0 to below 1. */
  random(): number;
  /** Address of the gateway that answers. */
  callersAddress: string;
  /** Lists the ready gateways, this one first if it is ready. */
  listCandidates(): readonly DirectoryCandidate[];
  /** Returns the region of an availability zone; undefined if it is unknown. */
  getRegion(availabilityZone: string): string | undefined;
  /** Returns the longest lifetime of an answer that callers respect, in milliseconds. */
  getMaxTtlMs(): number;
  /** Called for each answer with the number of names in it. */
  handleAnswer(choice: DirectoryChoice, names: number): void;
}

/** Tells callers which gateways to use. */
export interface Directory {
  /** Returns the answer for a caller; undefined if no gateway is ready. */
  getResponse(caller: CallerLocation): DirectoryResponse | undefined;
}

/** Lifetime of an answer; some callers keep it three times as long. */
const TTL_MS = 2_000;
/** Factor of what this gateway bears below which it logs that it is named less. */
const LOW_FACTOR = 0.5;
/** Minimum time between two log lines. */
const LOG_PERIOD_MS = 1_000;

/** Creates the directory. */
export function createDirectory(options: DirectoryOptions): Directory {
  const { timers, logger, random, callersAddress, listCandidates, getRegion } = options;
  let choice: DirectoryChoice | undefined;
  let isNamedLess = false;
  let loggedMs = -Infinity;

  /** Logs when the way of choosing changes, and when this gateway bears too much or no more. */
  const logChanges = (candidates: readonly DirectoryCandidate[], next: DirectoryChoice): void => {
    const now = timers.getMonotonicMs();
    if (now - loggedMs < LOG_PERIOD_MS) return;
    const own = computeWeights(candidates).find(
      ({ candidate }) => candidate.callersAddress === callersAddress,
    );
    const factor = own === undefined ? 1 : own.weight / own.capacityWeight;
    const isLow = factor < LOW_FACTOR;
    if (next === choice && isLow === isNamedLess) return;
    choice = next;
    isNamedLess = isLow;
    loggedMs = now;
    logger.info('the names for callers are chosen in another way', {
      choice,
      gateways: candidates.length,
      isNamedLess,
      inProgress: own?.candidate.inProgress ?? null,
      memoryShare: own?.candidate.memoryShare ?? null,
    });
  };

  return {
    getResponse(caller) {
      const candidates = listCandidates();
      if (candidates.length === 0) return undefined;
      const selected = selectGateways({ candidates, caller, getRegion, random });
      options.handleAnswer(selected.choice, selected.callersAddresses.length);
      logChanges(candidates, selected.choice);
      return {
        callersAddresses: selected.callersAddresses,
        ttlMs: Math.min(TTL_MS, options.getMaxTtlMs()),
      };
    },
  };
}
