import { readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildCall, createCluster, formatResult, ServiceFault } from './fixtures/create-cluster.ts';
import type { Cluster } from './fixtures/create-cluster.ts';
import { FORWARD_MARGIN_MS, PREFIX_LIFETIME_MS } from './index.ts';

const FIXTURES = 'src/core/calls/fixtures';

/** Compares a text with a golden file; UPDATE_GOLDEN=1 overwrites the file first. */
function checkGolden(name: string, text: string): void {
  const file = `${FIXTURES}/${name}.golden.txt`;
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(file, text);
  expect(text).toEqual(readFileSync(file, 'utf8'));
}

/** Creates a caller that sends calls and lookups and logs the results it receives. */
function createCaller({ getDaemon }: Cluster) {
  const log: string[] = [];
  const logResult = (name: string, promise: Promise<Parameters<typeof formatResult>[0]>): void => {
    promise
      .then((result) => log.push(`${name}: ${formatResult(result)}`))
      .catch((error: unknown) => log.push(`${name}: ${String(error)}`));
  };
  return {
    log,
    send: (name: string, daemon: number, id: string) =>
      logResult(name, getDaemon(daemon).router.runCall(buildCall(id))),
    lookUp: (name: string, daemon: number, id: string) =>
      logResult(name, getDaemon(daemon).router.lookUpCall(id)),
  };
}

interface GoldenCase {
  /** Name of the golden file without its extension. */
  name: string;
  title: string;
  maxRecords?: number;
  run(cluster: Cluster, caller: ReturnType<typeof createCaller>, id: string): Promise<void>;
  expected: string[];
  /** Number of calls that ran at the service. */
  runs: number;
}

const LONG_MS = 30_000;

const cases: GoldenCase[] = [
  {
    name: 'owner',
    title: 'runs a call at its owner',
    async run({ timers }, { send }, id) {
      send('first', 0, id);
      await timers.runForAsync(1_000);
    },
    expected: ['first: done 201 run 1'],
    runs: 1,
  },
  {
    name: 'owner-alive',
    title: 'runs a call once when it is also forwarded to its live owner by other daemons',
    async run({ timers }, { send, lookUp }, id) {
      send('first', 0, id);
      send('copy', 1, id);
      await timers.runForAsync(1_000);
      send('late copy', 2, id);
      lookUp('lookup', 2, id);
      await timers.runForAsync(1_000);
    },
    expected: [
      'first: done 201 run 1',
      'copy: done 201 run 1',
      'late copy: done 201 run 1',
      'lookup: done 201 run 1',
    ],
    runs: 1,
  },
  {
    name: 'owner-frozen',
    title:
      'reports unknown through another daemon while the owner is frozen, and runs the call once',
    async run({ timers, getDaemon }, { send, lookUp }, id) {
      getDaemon(0).isFrozen = true;
      send('first', 1, id);
      lookUp('lookup', 2, id);
      await timers.runForAsync(FORWARD_MARGIN_MS + 6_000);
      getDaemon(0).isFrozen = false;
      await timers.runForAsync(1_000);
      lookUp('second lookup', 2, id);
      await timers.runForAsync(1_000);
    },
    expected: ['lookup: unknown 502', 'first: unknown 502', 'second lookup: done 201 run 1'],
    runs: 1,
  },
  {
    name: 'owner-dead',
    title: 'reports unknown when the owner is dead, and never runs the call elsewhere',
    async run({ timers, getDaemon }, { send, lookUp }, id) {
      getDaemon(0).isDead = true;
      send('first', 1, id);
      lookUp('lookup', 2, id);
      await timers.runForAsync(LONG_MS);
    },
    expected: ['first: unknown 502', 'lookup: unknown 502'],
    runs: 0,
  },
  {
    name: 'owner-dies',
    title: 'reports unknown when the owner dies with the call in flight',
    async run({ timers, getDaemon, restartDaemon }, { send }, id) {
      send('first', 1, id);
      await timers.runForAsync(20);
      getDaemon(0).isDead = true;
      restartDaemon(0);
      send('copy', 1, id);
      send('copy at the new incarnation', 0, id);
      await timers.runForAsync(LONG_MS);
    },
    expected: [
      'copy: unknown 502',
      'copy at the new incarnation: unknown 502',
      'first: unknown 502',
    ],
    runs: 1,
  },
  {
    name: 'answer-lost-between-daemons',
    title: 'finds the outcome of a call whose response was lost between the daemons',
    async run({ timers, getDaemon }, { send, lookUp }, id) {
      getDaemon(0).losesResponses = true;
      send('first', 1, id);
      await timers.runForAsync(1_000);
      getDaemon(0).losesResponses = false;
      lookUp('lookup', 2, id);
      await timers.runForAsync(1_000);
    },
    expected: ['first: unknown 502', 'lookup: done 201 run 1'],
    runs: 1,
  },
  {
    name: 'answer-lost-by-service',
    title: 'does not resend a call whose response from the service was lost',
    async run({ timers, faults }, { send }, id) {
      faults.push(ServiceFault.ResponseLost);
      send('first', 0, id);
      await timers.runForAsync(LONG_MS);
      send('copy', 0, id);
      await timers.runForAsync(1_000);
    },
    expected: ['first: unknown 502', 'copy: unknown 502'],
    runs: 1,
  },
  {
    name: 'call-lost',
    title: 'does not report not-run for a call that may have been sent',
    async run({ timers, faults }, { send }, id) {
      faults.push(ServiceFault.CallLost);
      send('first', 0, id);
      await timers.runForAsync(LONG_MS);
    },
    expected: ['first: unknown 502'],
    runs: 0,
  },
  {
    name: 'refused-once',
    title: 'tries another target while no byte has been sent',
    async run({ timers, faults }, { send }, id) {
      faults.push(ServiceFault.Refused);
      send('first', 0, id);
      await timers.runForAsync(1_000);
    },
    expected: ['first: done 201 run 1'],
    runs: 1,
  },
  {
    name: 'refused',
    title: 'closes a call that no target accepted, so that a late duplicate does not run',
    async run({ timers, faults }, { send }, id) {
      faults.push(ServiceFault.Refused, ServiceFault.Refused);
      send('first', 0, id);
      await timers.runForAsync(1_000);
      send('late copy', 1, id);
      await timers.runForAsync(1_000);
    },
    expected: ['first: not-run 503', 'late copy: not-run 503'],
    runs: 0,
  },
  {
    name: 'lookup-first',
    title: 'closes an id that is looked up before its call arrives',
    async run({ timers }, { send, lookUp }, id) {
      lookUp('lookup', 1, id);
      await timers.runForAsync(1_000);
      send('late', 0, id);
      await timers.runForAsync(1_000);
    },
    expected: ['lookup: not-run 503', 'late: not-run 503'],
    runs: 0,
  },
  {
    name: 'running',
    title: 'reports that a call is running',
    async run({ timers }, { send, lookUp }, id) {
      send('first', 0, id);
      await timers.runForAsync(20);
      lookUp('lookup', 1, id);
      await timers.runForAsync(1_000);
    },
    expected: ['lookup: running', 'first: done 201 run 1'],
    runs: 1,
  },
  {
    name: 'expired',
    title: 'reports unknown for an expired id, and does not run it',
    async run({ timers }, { send, lookUp }, id) {
      await timers.runForAsync(PREFIX_LIFETIME_MS, 10_000);
      send('late', 0, id);
      lookUp('lookup', 1, id);
      await timers.runForAsync(1_000);
    },
    expected: ['late: unknown 502', 'lookup: unknown 502'],
    runs: 0,
  },
  {
    name: 'full',
    title: 'closes all unrecorded ids issued so far when the ledger is full, and runs later ones',
    maxRecords: 1,
    async run({ timers, getDaemon }, { send }, id) {
      const { ledger } = getDaemon(0);
      const refused = `${ledger.createPrefix()}2`;
      send('first', 0, id);
      send('refused', 0, refused);
      await timers.runForAsync(PREFIX_LIFETIME_MS - 1_000, 10_000);
      send('late copy', 0, refused);
      const later = `${ledger.createPrefix()}3`;
      await timers.runForAsync(20_000, 100);
      send('later', 0, later);
      await timers.runForAsync(1_000);
    },
    expected: [
      'refused: not-run 503',
      'first: done 201 run 1',
      'late copy: not-run 503',
      'later: done 201 run 2',
    ],
    runs: 2,
  },
];

describe('lifecycle of one non-idempotent call', () => {
  for (const { name, title, maxRecords, run, expected, runs } of cases) {
    // Guards against a call that runs twice, and against not-run for a call that ran.
    it(title, async () => {
      const cluster = createCluster(maxRecords === undefined ? {} : { maxRecords });
      const caller = createCaller(cluster);
      const id = `${cluster.getDaemon(0).ledger.createPrefix()}1`;
      await run(cluster, caller, id);
      expect(caller.log).toEqual(expected);
      expect(cluster.runs).toHaveLength(runs);
      checkGolden(name, cluster.formatTimeline());
    });
  }
});
