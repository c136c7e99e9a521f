import { Priority } from '../world/index.ts';

/** A request that waits in a flow. */
export interface QueueEntry {
  /** Requests of one flow wait for each other; flows share by weight. */
  flow: string;
  shareWeight: number;
  priority: Priority;
  /** Share of the flow that the request uses up; 0 for a continuation. */
  cost: number;
  /** Starts the request; false when it must wait longer. */
  tryStart(): boolean;
}

/** Start-time fair queue over flows, with priorities inside a flow. */
export interface FairQueue {
  add(entry: QueueEntry): void;
  remove(entry: QueueEntry): void;
  /** Starts requests in fair order until none can start. */
  run(): void;
  count(): number;
  /** Counts the waiting requests of one flow. */
  countFlow(flow: string): number;
}

interface Flow {
  entries: QueueEntry[];
  /** Virtual time at which the flow may start its next request. */
  startTime: number;
}

const PRIORITY_RANKS: Readonly<Record<Priority, number>> = {
  [Priority.High]: 0,
  [Priority.Normal]: 1,
  [Priority.Low]: 2,
};

function addByPriority(entries: QueueEntry[], entry: QueueEntry): void {
  const rank = PRIORITY_RANKS[entry.priority];
  const index = entries.findIndex((other) => PRIORITY_RANKS[other.priority] > rank);
  entries.splice(index < 0 ? entries.length : index, 0, entry);
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  const flows = new Map<string, Flow>();
  let virtualTime = 0;
  let count = 0;

  const listInOrder = (): Flow[] =>
    [...flows.values()].sort((left, right) => left.startTime - right.startTime);

  const removeAt = (flow: Flow, index: number): void => {
    flow.entries.splice(index, 1);
    count--;
  };

  /** Forgets flows that are empty and not ahead of the others. */
  const removeIdleFlows = (): void => {
    flows.forEach((flow, name) => {
      if (flow.entries.length === 0 && flow.startTime <= virtualTime) flows.delete(name);
    });
  };

  /** Starts the first request of a flow; false when it must wait. */
  const startFirst = (flow: Flow): boolean => {
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
      addByPriority(flow.entries, entry);
      count++;
    },
    remove(entry) {
      const flow = flows.get(entry.flow);
      const index = flow?.entries.indexOf(entry) ?? -1;
      if (flow !== undefined && index >= 0) removeAt(flow, index);
      removeIdleFlows();
    },
    run() {
      while (listInOrder().some(startFirst));
      removeIdleFlows();
    },
    count: () => count,
    countFlow: (flow) => flows.get(flow)?.entries.length ?? 0,
  };
}
