import { mkdirSync, mkdtempSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import type { Caller } from '../../src/core/caller/index.ts';
import { createCaller } from '../../src/core/caller/index.ts';
import type { TimerService } from '../../src/core/timers/index.ts';
import { createTimerService } from '../../src/core/timers/index.ts';
import type { RunningProcess } from '../../src/demo/processes.ts';
import type { EntryEndpoints } from '../../src/demo/topology.ts';
import { waitUntil } from '../../src/demo/wait-until.ts';
import type { DemoCluster } from '../../src/demo/cluster.ts';
import { createDemoCluster } from '../../src/demo/cluster.ts';

const BUILD_FOLDER = 'dist';
const OUTPUT_FOLDER = 'out';
const DEADLINE_MS = 30_000;

/** A serving group as stored in the platform stand-in. */
export interface GroupView {
  name: string;
  state: string;
  generation: number;
  members: string[];
}

/** Lease and groups in the allocation of the only fabric domain. */
export interface DomainView {
  lease: { vm: string; epoch: number };
  groups: GroupView[];
}

/** Real processes on loopback, with a serving group that is ready for callers. */
export interface ProcessSession {
  cluster: DemoCluster;
  timers: TimerService;
  entries: EntryEndpoints[];
  daemons: Map<string, RunningProcess>;
  controllers: Map<string, RunningProcess>;
  /** Creates a caller with all daemons as seeds. */
  createCaller(): Caller;
  /** Creates a caller with one daemon as its only seed. */
  createCallerAt(entry: EntryEndpoints): Caller;
  /** Sends the same order again through one daemon and returns the outcome. */
  repeatOrder(callerPort: number, requestId: string): Promise<string>;
  /** Returns how often the service has run the order. */
  countBookings(requestId: string): Promise<number>;
  /** Reads the allocation from the platform stand-in; undefined if there is none. */
  fetchDomain(): Promise<DomainView | undefined>;
  /** Repeats the check until it returns a value; throws after 30 s. */
  waitFor<Value>(description: string, check: () => Promise<Value | undefined>): Promise<Value>;
  stop(): Promise<void>;
}

const CUSTOMER = 'orchard';

interface BookingList {
  bookings: { requestId: string; runs: number }[];
}

interface AllocationList {
  objects: { value: DomainView }[];
}

/** Starts the processes and waits until a group serves; stops them again if that fails. */
export async function startProcessSession(entryCount = 2): Promise<ProcessSession> {
  const timers = createTimerService();
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const workFolder = mkdtempSync(join(OUTPUT_FOLDER, 'processes-'));
  const size = { entries: entryCount, engines: 4, services: 2, coldMs: 300, tokenMs: 5 };
  const cluster = await createDemoCluster({
    ...size,
    buildFolder: BUILD_FOLDER,
    workFolder,
    timers,
  });
  const { address, entries, platformPort } = cluster.topology;
  const daemons = new Map<string, RunningProcess>();
  const controllers = new Map<string, RunningProcess>();

  const waitFor: ProcessSession['waitFor'] = (description, check) =>
    waitUntil(description, timers, DEADLINE_MS, check);
  const createCallerForSeeds = (seeds: readonly EntryEndpoints[]): Caller =>
    createCaller({
      customer: CUSTOMER,
      seeds: seeds.map(({ callers }) => ({ address, port: callers })),
      timers,
    });
  const fetchDomain = async (): Promise<DomainView | undefined> => {
    const list = (await cluster.sendControlRequest(
      platformPort,
      '/objects/allocation',
    )) as AllocationList;
    return list.objects[0]?.value;
  };

  try {
    await cluster.startStandIns();
    entries.forEach((entry) => daemons.set(entry.name, cluster.startEntry(entry)));
    await Promise.all(entries.map(cluster.waitForEntry));
    entries.forEach((entry) => controllers.set(entry.name, cluster.startController(entry)));
    const applied = await cluster.runOperator('apply', cluster.writeDeclaration(), '--base', '0');
    if (applied.status !== 0) throw new Error(applied.stderr);
    await waitFor('formation of a group', async () =>
      (await fetchDomain())?.groups.find(({ state }) => state === 'serving'),
    );
  } catch (error) {
    await cluster.runner.stopAll();
    throw error;
  }

  return {
    cluster,
    timers,
    entries,
    daemons,
    controllers,
    createCaller: () => createCallerForSeeds(entries),
    createCallerAt: (entry) => createCallerForSeeds([entry]),
    async repeatOrder(callerPort, requestId) {
      const { headers, body } = await request(
        `http://${address}:${callerPort}/v1/services/orders/bookings`,
        {
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            'x-customer': CUSTOMER,
            'x-request-id': requestId,
            'x-idempotent': 'false',
          },
          body: JSON.stringify({ item: 'seedlings', quantity: 1 }),
        },
      );
      await body.dump();
      return String(headers['x-outcome']);
    },
    async countBookings(requestId) {
      const [target] = cluster.topology.services;
      const answer = (await cluster.sendControlRequest(
        target?.port ?? 0,
        '/bookings',
      )) as BookingList;
      return answer.bookings.find((row) => row.requestId === requestId)?.runs ?? 0;
    },
    fetchDomain,
    waitFor,
    stop: () => cluster.runner.stopAll(),
  };
}
