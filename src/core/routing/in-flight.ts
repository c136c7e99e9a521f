import type { LocalLoad } from './types.ts';

/** Counts the requests that this daemon has in flight at each target, and their tokens. */
export interface InFlightTracker {
  /** Adds a request and returns a function that removes it. */
  add(vm: string, tokens: number): () => void;
  get(vm: string): LocalLoad;
  countRequests(): number;
}

const NO_LOAD: LocalLoad = { requests: 0, tokens: 0 };

/** Creates the in-flight counts of a daemon, with no requests. */
export function createInFlightTracker(): InFlightTracker {
  const loadByVm = new Map<string, LocalLoad>();
  let requests = 0;

  const get = (vm: string): LocalLoad => loadByVm.get(vm) ?? NO_LOAD;

  const addLoad = (vm: string, delta: LocalLoad): void => {
    const current = get(vm);
    const next = {
      requests: current.requests + delta.requests,
      tokens: current.tokens + delta.tokens,
    };
    requests += delta.requests;
    if (next.requests === 0) loadByVm.delete(vm);
    else loadByVm.set(vm, next);
  };

  return {
    add(vm, tokens) {
      addLoad(vm, { requests: 1, tokens });
      let isHeld = true;
      return () => {
        if (!isHeld) return;
        isHeld = false;
        addLoad(vm, { requests: -1, tokens: -tokens });
      };
    },
    get,
    countRequests: () => requests,
  };
}
