import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../fleet/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createCrashWatch } from './crash-watch.ts';
import type { LostRequest, TargetCrash } from './types.ts';

const TARGET = { id: 'e1', address: 'e1:80' } as Target;
const WAITING: LostRequest = {
  requestId: 'waiting',
  customer: undefined,
  sharedPartIds: ['a1'],
  hasBegun: false,
};
const BEGUN: LostRequest = { ...WAITING, requestId: 'begun', hasBegun: true };
const WITHOUT_PROMPT: LostRequest = { ...WAITING, requestId: 'plain', sharedPartIds: [] };

async function playLosses(requests: readonly LostRequest[], isListening: boolean) {
  const timers = createManualTimers();
  const crashes: TargetCrash[] = [];
  let probes = 0;
  const watch = createCrashWatch({
    timers,
    probeListener: async () => {
      probes++;
      return isListening;
    },
    handleCrash: (crash) => crashes.push(crash),
  });
  requests.forEach((request) => watch.recordLostRequest(TARGET, request));
  await timers.runForAsync(200, 10);
  return { requests: crashes.map((crash) => crash.requests.map((one) => one.requestId)), probes };
}

describe('crash watch', () => {
  const cases = [
    {
      // Guards against one report a request, which would count a crash several times.
      name: 'reports all requests lost with a target in one crash',
      requests: [WAITING, BEGUN],
      isListening: false,
      expected: { requests: [['waiting', 'begun']], probes: 1 },
    },
    {
      // Guards against taking single connections that an engine resets for its crash.
      name: 'reports nothing if the target still accepts connections',
      requests: [WAITING],
      isListening: true,
      expected: { requests: [], probes: 1 },
    },
    {
      name: 'opens no connection if every response had begun or no prompt was lost',
      requests: [BEGUN, WITHOUT_PROMPT],
      isListening: false,
      expected: { requests: [], probes: 0 },
    },
  ];
  for (const { name, requests, isListening, expected } of cases) {
    it(name, async () => {
      expect(await playLosses(requests, isListening)).toEqual(expected);
    });
  }

  // Guards against a crash with many requests that fills the memory of the gateway.
  it('keeps a bounded number of requests', async () => {
    const many = Array.from({ length: 500 }, () => WAITING);
    const { requests } = await playLosses(many, false);
    expect(requests[0]?.length).toEqual(64);
  });
});
