import { describe, it } from 'node:test';
import { expect } from 'earl';
import { applySlotEvent, buildTargetSlots, countFreeSlots } from './index.ts';
import { SlotEventKind } from './slot-state.ts';
import type { SlotEvent, TargetSlots } from './slot-state.ts';

const COLD_LIMIT = 2;
/** Target cold and lease held from 0 ms: earliest sample time at which requests are counted. */
const COUNT_MS = 4_300;

const LEASE: SlotEvent = {
  kind: SlotEventKind.Lease,
  epoch: 1,
  leaseEndMs: 27_000,
  grantFromMs: 0,
};

function buildStatus(sampledMs: number, requests = 0, isWarm = false): SlotEvent {
  return { kind: SlotEventKind.Status, sampledMs, requests, isWarm, coldLimit: COLD_LIMIT };
}

function buildSlotRequest(
  nowMs: number,
  change: Partial<SlotEvent & { want: number }> = {},
): SlotEvent {
  const request = { daemon: 'entry-1', renew: [], release: [], want: 0, ...change };
  return { ...request, kind: SlotEventKind.SlotRequest, nowMs };
}

function applyAll(events: readonly SlotEvent[]): TargetSlots {
  return events.reduce(applySlotEvent, buildTargetSlots('vm-1'));
}

const COUNTED: SlotEvent[] = [LEASE, buildStatus(0), buildStatus(COUNT_MS)];
const ALL_GRANTED: SlotEvent[] = [...COUNTED, buildSlotRequest(5_000, { want: 2 })];

interface Case {
  title: string;
  events: SlotEvent[];
  held: number;
  free: number;
}

// Guards against more requests at a cold target than its limit (invariant I3).
const cases: Case[] = [
  { title: 'grants nothing before a status query', events: [LEASE], held: 0, free: 0 },
  {
    title: 'grants nothing while daemons may still treat the target as warm',
    events: [LEASE, buildStatus(0), buildStatus(COUNT_MS - 1)],
    held: 0,
    free: 0,
  },
  {
    title: 'grants nothing while slots of an earlier granter may still be valid',
    events: [{ ...LEASE, grantFromMs: 10_000 }, buildStatus(0), buildStatus(10_400)],
    held: 0,
    free: 0,
  },
  { title: 'grants up to the limit', events: ALL_GRANTED, held: 2, free: 0 },
  {
    title: 'grants fewer slots while requests without a slot are running',
    events: [LEASE, buildStatus(0), buildStatus(COUNT_MS, 1), buildSlotRequest(5_000, { want: 2 })],
    held: 1,
    free: 0,
  },
  {
    title: 'grants nothing above the limit to another daemon',
    events: [...ALL_GRANTED, buildSlotRequest(5_001, { daemon: 'entry-2', want: 1 })],
    held: 2,
    free: 0,
  },
  {
    title: 'frees returned slots immediately',
    events: [...ALL_GRANTED, buildSlotRequest(5_001, { release: ['1-1'] })],
    held: 1,
    free: 1,
  },
  {
    title: 'does not let a daemon return slots of another daemon',
    events: [...ALL_GRANTED, buildSlotRequest(5_001, { daemon: 'entry-2', release: ['1-1'] })],
    held: 2,
    free: 0,
  },
  {
    title: 'counts expired slots as requests that may still run',
    events: [...ALL_GRANTED, { kind: SlotEventKind.Tick, nowMs: 8_000 }],
    held: 0,
    free: 0,
  },
  {
    title: 'ignores a request count that was sampled before the expiry settled',
    events: [...ALL_GRANTED, { kind: SlotEventKind.Tick, nowMs: 8_000 }, buildStatus(8_400)],
    held: 0,
    free: 0,
  },
  {
    title: 'frees expired slots when the target reports no requests',
    events: [...ALL_GRANTED, { kind: SlotEventKind.Tick, nowMs: 8_000 }, buildStatus(8_500)],
    held: 0,
    free: 2,
  },
  {
    title: 'keeps renewed slots',
    events: [
      ...ALL_GRANTED,
      buildSlotRequest(7_000, { renew: ['1-1', '1-2'] }),
      { kind: SlotEventKind.Tick, nowMs: 9_999 },
    ],
    held: 2,
    free: 0,
  },
  {
    title: 'does not renew an expired slot',
    events: [...ALL_GRANTED, buildSlotRequest(8_000, { renew: ['1-1'] })],
    held: 0,
    free: 0,
  },
  {
    title: 'expires all slots at the end of the lease',
    events: [
      ...COUNTED,
      buildSlotRequest(26_000, { want: 2 }),
      { kind: SlotEventKind.Tick, nowMs: 27_000 },
    ],
    held: 0,
    free: 0,
  },
  {
    title: 'grants nothing after the end of the lease',
    events: [...COUNTED, buildSlotRequest(27_000, { want: 2 })],
    held: 0,
    free: 2,
  },
  {
    title: 'counts requests again in a new epoch',
    events: [...ALL_GRANTED, { ...LEASE, epoch: 2 }],
    held: 0,
    free: 0,
  },
  {
    title: 'counts requests again after the target was warm',
    events: [...COUNTED, buildStatus(6_000, 9, true), buildStatus(7_000, 9)],
    held: 0,
    free: 0,
  },
];

describe('applySlotEvent', () => {
  for (const { title, events, held, free } of cases) {
    it(title, () => {
      const state = applyAll(events);
      expect({ held: state.slots.length, free: countFreeSlots(state) }).toEqual({ held, free });
    });
  }
});
