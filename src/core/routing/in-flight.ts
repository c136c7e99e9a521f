import type { OwnWork } from './types.ts';

/** Counts the requests that this daemon has in flight at each target, and their tokens. */
export interface InFlight {
  /** Adds a request and returns a function that removes it. */
  add(vm: string, tokens: number): () => void;
  get(vm: string): OwnWork;
  countRequests(): number;
}

const NO_WORK: OwnWork = { requests: 0, tokens: 0 };

/** Creates the in-flight counts of a daemon, with no requests. */
export function createInFlight(): InFlight {
  const byVm = new Map<string, OwnWork>();
  let requests = 0;

  const get = (vm: string): OwnWork => byVm.get(vm) ?? NO_WORK;

  const addWork = (vm: string, by: OwnWork): void => {
    const current = get(vm);
    const next = { requests: current.requests + by.requests, tokens: current.tokens + by.tokens };
    requests += by.requests;
    if (next.requests === 0) byVm.delete(vm);
    else byVm.set(vm, next);
  };

  return {
    add(vm, tokens) {
      addWork(vm, { requests: 1, tokens });
      let isHeld = true;
      return () => {
        if (!isHeld) return;
        isHeld = false;
        addWork(vm, { requests: -1, tokens: -tokens });
      };
    },
    get,
    countRequests: () => requests,
  };
}
