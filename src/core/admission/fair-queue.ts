import { Priority } from '../domain-types/index.ts';

/** A request queued in a flow. */
export interface QueueEntry {
  /** Name of the flow. Requests of one flow start in order; flows share capacity by weight. */
  flow: string;
  shareWeight: number;
  priority: Priority;
  /** Cost charged to the flow, in tokens; 0 for a continuation. */
  cost: number;
  /** Tries to start the request. Returns false when it must keep waiting. */
  tryStart(): boolean;
}

/** Start-time fair queue over flows, with priorities within a flow. */
export interface FairQueue {
  add(entry: QueueEntry): void;
  remove(entry: QueueEntry): void;
  /** Starts requests in fair order until no more can start. */
  run(): void;
  count(): number;
  /** Counts the queued requests of one flow. */
  countFlow(flow: string): number;
}

interface Flow {
  entries: QueueEntry[];
  /** Virtual start time of the next request; the flow with the lowest one is served first. */
  startTime: number;
}

const PRIORITY_RANKS: Readonly<Record<Priority, number>> = {
  [Priority.High]: 0,
  [Priority.Normal]: 1,
  [Priority.Low]: 2,
};

function insertByPriority(entries: QueueEntry[], entry: QueueEntry): void {
  const rank = PRIORITY_RANKS[entry.priority];
  const index = entries.findIndex((other) => PRIORITY_RANKS[other.priority] > rank);
  entries.splice(index < 0 ? entries.length : index, 0, entry);
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  const flows = new Map<string, Flow>();
  let virtualTime = 0;
  let count = 0;

  const listFlowsByStartTime = (): Flow[] =>
    [...flows.values()].sort((left, right) => left.startTime - right.startTime);

  const removeAt = (flow: Flow, index: number): void => {
    flow.entries.splice(index, 1);
    count--;
  };

  /** Removes empty flows whose start time is not ahead of the virtual time. */
  const removeIdleFlows = (): void => {
    flows.forEach((flow, name) => {
      if (flow.entries.length === 0 && flow.startTime <= virtualTime) flows.delete(name);
    });
  };

  /** Starts the first request of a flow. Returns false when it must wait. */
  const startFirstEntry = (flow: Flow): boolean => {
    const [entry] = flow.entries;
    if (entry === undefined || !entry.tryStart()) return false;
    removeAt(flow, flow.entries.indexOf(entry));
    virtualTime = Math.max(virtualTime, flow.startTime);
    flow.startTime = Math.max(flow.startTime, virtualTime) + entry.cost / entry.shareWeight;
    return true;
  };

  return {
    add(entry) {
      const flow = flows.get(entry.flow) ?? { entries: [], startTime: virtualTime };
      if (flow.entries.length === 0) flow.startTime = Math.max(flow.startTime, virtualTime);
      flows.set(entry.flow, flow);
      insertByPriority(flow.entries, entry);
      count++;
    },
    remove(entry) {
      const flow = flows.get(entry.flow);
      const index = flow?.entries.indexOf(entry) ?? -1;
      if (flow !== undefined && index >= 0) removeAt(flow, index);
      removeIdleFlows();
    },
    run() {
      while (listFlowsByStartTime().some(startFirstEntry));
      removeIdleFlows();
    },
    count: () => count,
    countFlow: (flow) => flows.get(flow)?.entries.length ?? 0,
  };
}
