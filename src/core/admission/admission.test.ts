import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { LimitRow } from '../declarations/index.ts';
import type { RoutableTarget } from '../probing/index.ts';
import { NoTargetReason } from '../routing/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { ManualTimers } from '../timers/index.ts';
import { Priority } from '../domain-types/index.ts';
import { createAdmission, createFairQueue, MAX_QUEUED_PER_FLOW } from './index.ts';
import type { Admission, AdmissionRequest, Ticket } from './index.ts';

const LIMITS: LimitRow = {
  customer: 'orchard',
  requestsPerSecond: 400,
  concurrentRequests: 400,
  tokensPerSecond: 400_000,
  shareWeight: 1,
};

/** Creates the admission of a daemon whose only target can hold a given number of requests. */
function createSetup(limits: Partial<LimitRow> = {}, places = 100) {
  const timers = createManualTimers();
  const log: string[] = [];
  const tickets: Ticket[] = [];
  const state = { places };
  const admission = createAdmission({
    timers,
    getLimits: (customer) => ({ ...LIMITS, customer, ...limits }),
    countDaemons: () => 4,
  });
  const reserveCapacity: AdmissionRequest['reserveTarget'] = () => {
    if (state.places <= 0) return NoTargetReason.NoCapacity;
    state.places--;
    return { target: {} as RoutableTarget, release: () => state.places++ };
  };
  const send = (name: string, request: Partial<AdmissionRequest> = {}): void => {
    const fullRequest: AdmissionRequest = {
      customer: 'orchard',
      route: 'assistant',
      priority: Priority.Normal,
      tokens: 10,
      reserveTarget: reserveCapacity,
      ...request,
    };
    void admission.acquire(fullRequest).then(({ ticket, refusal }) => {
      if (ticket !== undefined) tickets.push(ticket);
      const text = refusal?.limit ?? refusal?.reason ?? 'admitted';
      log.push(
        refusal === undefined ? `${name} ${text}` : `${name} ${text} ${refusal.retryAfterMs}`,
      );
    });
  };
  return { timers, log, tickets, state, admission, send };
}

interface Setup {
  timers: ManualTimers;
  log: string[];
  tickets: Ticket[];
  state: { places: number };
  admission: Admission;
  send(name: string, request?: Partial<AdmissionRequest>): void;
}

interface Case {
  title: string;
  limits?: Partial<LimitRow>;
  places?: number;
  run: (setup: Setup) => void | Promise<void>;
  expected: string[];
}

const cases: Case[] = [
  {
    title: 'divides the requests per second by the number of daemons of the customer',
    limits: { requestsPerSecond: 8 },
    run: ({ send }) => ['a', 'b', 'c'].forEach((name) => send(name)),
    expected: ['a admitted', 'b admitted', 'c requests per second 500'],
  },
  {
    title: 'queues a request until another ends when the customer has too many concurrent ones',
    limits: { concurrentRequests: 4 },
    async run({ timers, send, tickets }) {
      send('a');
      send('b');
      await timers.runForAsync(100);
      tickets[0]?.release(10);
    },
    expected: ['a admitted', 'b admitted'],
  },
  {
    title: 'refuses a request blocked by a customer limit until the deadline',
    limits: { concurrentRequests: 4 },
    run({ send }) {
      send('a');
      send('b');
    },
    expected: ['a admitted', 'b concurrent requests 1000'],
  },
  {
    title: 'admits a large request and delays the next until the balance has recovered',
    limits: { tokensPerSecond: 400 },
    run({ send }) {
      send('a', { tokens: 300 });
      send('b');
      send('c', { waitMs: 1_000 });
    },
    expected: ['a admitted', 'c tokens per second 1010', 'b admitted'],
  },
  {
    title: 'returns tokens that the request did not use',
    limits: { tokensPerSecond: 400 },
    async run({ timers, send, tickets }) {
      send('a', { tokens: 300 });
      await timers.runForAsync(10);
      tickets[0]?.release(20);
      send('b', { waitMs: 100 });
    },
    expected: ['a admitted', 'b admitted'],
  },
  {
    title: 'refuses a request when no target has capacity before the deadline',
    places: 0,
    run: ({ send }) => send('a'),
    expected: ['a no target has room 1000'],
  },
  {
    title: 'immediately refuses a request that no target can ever hold',
    run: ({ send }) => send('a', { reserveTarget: () => NoTargetReason.TooLarge, waitMs: 60_000 }),
    expected: ['a the request is larger than the memory share of every target 1000'],
  },
  {
    // Guards against one customer filling the queue of the daemon.
    title: 'limits the queue of a flow so that other flows can still queue',
    limits: { requestsPerSecond: 4_000 },
    places: 0,
    run({ send, state }) {
      for (let index = 0; index < MAX_QUEUED_PER_FLOW; index++) {
        send(`a${index}`, { waitMs: 60_000 });
      }
      send('b');
      state.places = 2;
      send('c', { customer: 'kennel' });
    },
    expected: ['b queued requests 1000', 'a0 admitted', 'c admitted'],
  },
  {
    title: 'starts requests of high priority first',
    places: 0,
    run({ send, state, admission }) {
      send('low', { priority: Priority.Low });
      send('normal');
      send('high', { priority: Priority.High });
      state.places = 3;
      admission.runQueue();
    },
    expected: ['high admitted', 'normal admitted', 'low admitted'],
  },
  {
    title: 'queues a continuation with its ticket behind an earlier request of high priority',
    places: 1,
    async run({ timers, send, state, admission, tickets }) {
      send('first');
      await timers.runForAsync(10);
      send('high', { priority: Priority.High });
      const [ticket] = tickets;
      if (ticket !== undefined) send('again', { ticket, customer: 'orchard' });
      state.places = 1;
      admission.runQueue();
    },
    expected: ['first admitted', 'high admitted', 'again no target has room 1000'],
  },
];

describe('createAdmission', () => {
  for (const testCase of cases) {
    it(testCase.title, async () => {
      const setup = createSetup(testCase.limits, testCase.places);
      await testCase.run(setup);
      await setup.timers.runForAsync(6_000);
      expect(setup.log).toEqual(testCase.expected);
    });
  }
});

interface FlowCase {
  title: string;
  weights: Record<string, number>;
  costs: Record<string, number>;
  starts: number;
  expected: Record<string, number>;
}

// Guards against a customer with many requests starving the other customers of a daemon.
const flowCases: FlowCase[] = [
  {
    title: 'divides starts equally between flows of equal weight',
    weights: { a: 1, b: 1 },
    costs: { a: 10, b: 10 },
    starts: 20,
    expected: { a: 10, b: 10 },
  },
  {
    title: 'divides starts by weight',
    weights: { a: 3, b: 1 },
    costs: { a: 10, b: 10 },
    starts: 40,
    expected: { a: 30, b: 10 },
  },
  {
    title: 'divides tokens rather than requests',
    weights: { a: 1, b: 1 },
    costs: { a: 30, b: 10 },
    starts: 40,
    expected: { a: 10, b: 30 },
  },
];

describe('createFairQueue', () => {
  for (const { title, weights, costs, starts, expected } of flowCases) {
    it(title, () => {
      const queue = createFairQueue();
      const started: string[] = [];
      const tryStart = (flow: string): boolean => started.length < starts && started.push(flow) > 0;
      Object.entries(weights).forEach(([flow, shareWeight]) => {
        const cost = costs[flow] ?? 1;
        const entry = { flow, shareWeight, cost, priority: Priority.Normal };
        for (let index = 0; index < 100; index++) {
          queue.add({ ...entry, tryStart: () => tryStart(flow) });
        }
      });
      queue.run();
      const counts = Object.keys(weights).map((flow) => [
        flow,
        started.filter((name) => name === flow).length,
      ]);
      expect(Object.fromEntries(counts)).toEqual(expected);
    });
  }
});
