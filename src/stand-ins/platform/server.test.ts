import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { createManualTimers, createTimerService } from '../../core/timers/index.ts';
import { VmRole, VmState } from '../../core/domain-types/index.ts';
import type { StandInPlatform } from './index.ts';
import { createStandInPlatform } from './index.ts';

interface CallResult {
  status: number;
  body: unknown;
}

type Call = [method: 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE', path: string, body?: unknown];

const VM = {
  name: 'engine-1',
  address: '127.0.0.1',
  port: 9_000,
  availabilityZone: 'sofia-a',
  region: 'sofia',
  fabricDomain: 'fabric-1',
  role: VmRole.Engine,
  accelerators: 4,
  state: VmState.Live,
};
const FIRST = { baseVersion: 0, writeId: 'w-1', value: { size: 1 } };
const SECOND = { baseVersion: 1, writeId: 'w-2', value: { size: 2 } };
const FIRST_OBJECT = { kind: 'config', name: 'current', version: 1, writeId: 'w-1' };

describe('createStandInPlatform', () => {
  let standIn: StandInPlatform;

  beforeEach(async () => {
    const timers = createTimerService();
    standIn = await createStandInPlatform({ address: '127.0.0.1', port: 0, timers, vms: [VM] });
  });
  afterEach(() => standIn.close());

  async function sendCall([method, path, body]: Call): Promise<CallResult> {
    const url = `http://127.0.0.1:${standIn.port}${path}`;
    const headers = body === undefined ? {} : { 'content-type': 'application/json' };
    const text = body === undefined ? null : JSON.stringify(body);
    try {
      const response = await request(url, { method, headers, body: text });
      return { status: response.statusCode, body: await response.body.json() };
    } catch {
      return { status: 0, body: null };
    }
  }

  interface Case {
    title: string;
    calls: Call[];
    /** Response to the last call. */
    expected: CallResult;
  }

  // The stand-in must not accept a call that the platform's protocol refuses.
  const cases: Case[] = [
    {
      title: 'creates an object at base version 0',
      calls: [
        ['PUT', '/objects/config/current', FIRST],
        ['GET', '/objects/config/current'],
      ],
      expected: { status: 200, body: { ...FIRST_OBJECT, value: { size: 1 } } },
    },
    {
      title: 'refuses a stale base version and returns the current object',
      calls: [
        ['PUT', '/objects/config/current', FIRST],
        ['PUT', '/objects/config/current', { ...SECOND, baseVersion: 0 }],
      ],
      expected: { status: 409, body: { current: { ...FIRST_OBJECT, value: { size: 1 } } } },
    },
    {
      title: 'responds with 404 for a deleted object',
      calls: [
        ['PUT', '/objects/config/current', FIRST],
        ['DELETE', '/objects/config/current?baseVersion=1&writeId=w-2'],
        ['GET', '/objects/config/current'],
      ],
      expected: { status: 404, body: { problem: 'no such object' } },
    },
    {
      title: 'reports a deleted object to a watch',
      calls: [
        ['PUT', '/objects/config/current', FIRST],
        ['DELETE', '/objects/config/current?baseVersion=1&writeId=w-2'],
        ['GET', '/watch/config?since=1&timeoutMs=1000'],
      ],
      expected: {
        status: 200,
        body: {
          version: 2,
          objects: [{ ...FIRST_OBJECT, version: 2, writeId: 'w-2', value: null, deleted: true }],
        },
      },
    },
    {
      title: 'ends a watch without changes at its timeout',
      calls: [['GET', '/watch/config?since=0&timeoutMs=10']],
      expected: { status: 200, body: { version: 0, objects: [] } },
    },
    {
      title: 'refuses a value above the size limit',
      calls: [['PUT', '/objects/config/current', { ...FIRST, value: 'x'.repeat(1_100_000) }]],
      expected: {
        status: 413,
        body: {
          statusCode: 413,
          code: 'FST_ERR_CTP_BODY_TOO_LARGE',
          error: 'Payload Too Large',
          message: 'Request body is too large',
        },
      },
    },
    {
      title: 'closes the connection while it is down',
      calls: [
        ['POST', '/faults', { down: true }],
        ['GET', '/vms'],
      ],
      expected: { status: 0, body: null },
    },
    {
      title: 'applies a write whose response it loses',
      calls: [
        ['POST', '/faults', { loseWriteAnswers: 1 }],
        ['PUT', '/objects/config/current', FIRST],
        ['GET', '/objects/config/current'],
      ],
      expected: { status: 200, body: { ...FIRST_OBJECT, value: { size: 1 } } },
    },
    {
      title: 'does not apply a late write immediately',
      calls: [
        ['POST', '/faults', { lateWrites: 1, lateWriteMs: 60_000 }],
        ['PUT', '/objects/config/current', FIRST],
        ['GET', '/objects/config/current'],
      ],
      expected: { status: 404, body: { problem: 'no such object' } },
    },
    {
      title: 'returns an outdated VM list while it lags',
      calls: [
        ['POST', '/faults', { vmListLagMs: 60_000 }],
        ['DELETE', '/vm-list/engine-1'],
        ['GET', '/vms'],
      ],
      expected: { status: 200, body: { vms: [VM] } },
    },
    {
      title: 'lists a leaving VM',
      calls: [
        ['PATCH', '/vm-list/engine-1', { state: VmState.Leaving }],
        ['GET', '/vms'],
      ],
      expected: { status: 200, body: { vms: [{ ...VM, state: VmState.Leaving }] } },
    },
    {
      title: 'refuses an unknown fault',
      calls: [['POST', '/faults', { dwon: true }]],
      expected: {
        status: 400,
        body: { problem: expect.includes('dwon') },
      },
    },
    {
      title: 'counts calls, and a waiting watch only once',
      calls: [
        ['PUT', '/objects/config/current', FIRST],
        ['PUT', '/objects/config/current', FIRST],
        ['GET', '/objects/config'],
        ['GET', '/watch/config?since=1&timeoutMs=10'],
        ['GET', '/vms'],
        ['GET', '/counters'],
      ],
      expected: {
        status: 200,
        body: {
          reads: 1,
          writes: 2,
          conflicts: 1,
          watches: 1,
          waitingWatches: 0,
          vmLists: 1,
          unanswered: 0,
        },
      },
    },
  ];

  for (const testCase of cases) {
    it(testCase.title, async () => {
      let result: CallResult = { status: 0, body: null };
      for (const call of testCase.calls) result = await sendCall(call);
      expect(result).toEqual(testCase.expected);
    });
  }

  // A waiting watch must not miss a change.
  it('completes a waiting watch on a write', async () => {
    const watch = sendCall(['GET', '/watch/config?since=0&timeoutMs=60000']);
    while (standIn.counters.waitingWatches === 0) await createTimerService().waitFor(1);
    await sendCall(['PUT', '/objects/config/current', FIRST]);
    expect(await watch).toEqual({
      status: 200,
      body: { version: 1, objects: [{ ...FIRST_OBJECT, value: { size: 1 }, deleted: false }] },
    });
  });

  // A late write must not overwrite a newer one.
  it('refuses a late write whose base version was replaced', async () => {
    // With manual timers the late write runs at a fixed point, however busy the machine is.
    const timers = createManualTimers();
    await standIn.close();
    standIn = await createStandInPlatform({ address: '127.0.0.1', port: 0, timers });
    await sendCall(['POST', '/faults', { lateWrites: 1, lateWriteMs: 20 }]);
    await sendCall(['PUT', '/objects/config/current', FIRST]);
    await sendCall(['PUT', '/objects/config/current', { ...FIRST, writeId: 'w-3' }]);
    timers.runFor(20);
    expect(standIn.store.getObject('config', 'current')?.writeId).toEqual('w-3');
  });
});
