import { readFileSync } from 'node:fs';
import type { Caller } from '../core/caller/index.ts';
import { createCaller } from '../core/caller/index.ts';
import type { TimerService } from '../core/timers/index.ts';
import { Outcome } from '../core/domain-types/index.ts';
import { waitUntil } from './wait-until.ts';
import type { DemoCluster, OperatorResult } from './cluster.ts';

const FORM_DEADLINE_MS = 20_000;
const KIB_PER_MIB = 1_024;
const RESIDENT_LINE = /^VmRSS:\s+(?<kib>\d+) kB$/m;

/** Dependencies of a demo run. */
export interface DemoOptions {
  cluster: DemoCluster;
  timers: TimerService;
  print: (line: string) => void;
}

function requireSuccess(command: string, { status, stdout, stderr }: OperatorResult): string {
  if (status === 0) return stdout;
  throw new Error(
    `operator command "${command}" failed with exit status ${status}: ${stderr}${stdout}`,
  );
}

/** Reads the resident memory (VmRSS) of a process from /proc, in MiB. */
export function readResidentMib(pid: number): number {
  const kib = RESIDENT_LINE.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kib;
  return Math.round(Number(kib) / KIB_PER_MIB);
}

async function startDaemons({ cluster, timers, print }: DemoOptions): Promise<void> {
  const { entries } = cluster.topology;
  for (const entry of entries) {
    const startMs = timers.getMonotonicMs();
    const daemon = cluster.startEntry(entry);
    await cluster.waitForEntry(entry);
    const startedMs = Math.round(timers.getMonotonicMs() - startMs);
    const resident = readResidentMib(daemon.pid);
    print(`${entry.name} answers after ${startedMs} ms with ${resident} MiB resident`);
    cluster.startController(entry);
  }
}

async function applyDeclaration({ cluster, print }: DemoOptions): Promise<void> {
  const file = cluster.writeDeclaration();
  requireSuccess('validate', await cluster.runOperator('validate', file));
  print(requireSuccess('apply', await cluster.runOperator('apply', file, '--base', '0')).trim());
  print(requireSuccess('status', await cluster.runOperator('status', '--wait')).trim());
}

async function waitForGroup({ cluster, timers, print }: DemoOptions): Promise<string> {
  const { platformPort, engines } = cluster.topology;
  const listServing = async (): Promise<string[]> => {
    const answer = (await cluster.sendControlRequest(platformPort, '/objects/allocation')) as {
      objects: { value: { groups: { name: string; state: string }[] } }[];
    };
    return answer.objects
      .flatMap(({ value }) => value.groups)
      .filter(({ state }) => state === 'serving')
      .map(({ name }) => name);
  };
  const startMs = timers.getMonotonicMs();
  const names = await waitUntil('formation of a group', timers, FORM_DEADLINE_MS, async () => {
    const serving = await listServing();
    return serving.length > 0 ? serving : undefined;
  });
  const formedMs = Math.round(timers.getMonotonicMs() - startMs);
  print(`serving: ${names.join(', ')} of ${engines.length} VMs, after ${formedMs} ms`);
  return names[0] ?? '';
}

async function streamAnswer(caller: Caller, { print, timers }: DemoOptions): Promise<string> {
  const startMs = timers.getMonotonicMs();
  const { requestId, text, total, attempts } = await caller.runCompletion({
    model: 'assistant-llm',
    prompt: 'Which wax blend suits cherry grafts in a cold spring?',
    maxTokens: 24,
  });
  const elapsedMs = Math.round(timers.getMonotonicMs() - startMs);
  print(`answer of ${total} tokens in ${elapsedMs} ms with ${attempts} connection(s): ${text}`);
  return requestId;
}

async function bookOrder(caller: Caller, { print }: DemoOptions): Promise<string> {
  const { requestId, outcome, status } = await caller.sendNonIdempotentCall({
    service: 'orders',
    path: '/bookings',
    body: { item: 'seedlings', quantity: 2 },
  });
  print(`order ${requestId}: ${outcome} (${status})`);
  if (outcome !== Outcome.Done) throw new Error(`the order ended as ${outcome}`);
  return requestId;
}

/**
 * Checks that the service booked the order exactly once. One target is enough to ask, because all
 * targets of the stand-in service share one list of bookings.
 */
async function checkBookings({ cluster, print }: DemoOptions, requestId: string): Promise<void> {
  const [target] = cluster.topology.services;
  const answer = await cluster.sendControlRequest(target?.port ?? 0, '/bookings');
  const count = JSON.stringify(answer).split(requestId).length - 1;
  print(`the service booked the order ${count} time(s)`);
  if (count !== 1) throw new Error(`the order was booked ${count} times`);
}

async function printTimeline(
  options: DemoOptions,
  filter: '--group' | '--request',
  name: string,
): Promise<void> {
  const { print, cluster } = options;
  const output = await cluster.runOperator('timeline', filter, name);
  print(`timeline of ${name}:`);
  print(requireSuccess('timeline', output).trim());
}

/**
 * Runs the demo from start to end: starts the processes, applies a declaration, waits until a group
 * serves, streams a completion, places an order and prints the timelines.
 */
export async function runDemo(options: DemoOptions): Promise<void> {
  const { cluster, timers, print } = options;
  const { address, entries } = cluster.topology;
  await cluster.startStandIns();
  await startDaemons(options);
  await applyDeclaration(options);
  const group = await waitForGroup(options);
  const seeds = entries.map(({ callers }) => ({ address, port: callers }));
  const caller = createCaller({ customer: 'orchard', availabilityZone: 'sofia-b', seeds, timers });
  const addresses = await caller.fetchAddresses();
  print(`addresses: ${addresses.map(({ daemon }) => daemon).join(', ')}`);
  const answerId = await streamAnswer(caller, options);
  const orderId = await bookOrder(caller, options);
  await checkBookings(options, orderId);
  await printTimeline(options, '--group', group);
  await printTimeline(options, '--request', answerId);
  await printTimeline(options, '--request', orderId);
  await caller.close();
}
