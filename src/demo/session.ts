import { readFileSync } from 'node:fs';
import type { Caller } from '../core/caller/index.ts';
import { createCaller } from '../core/caller/index.ts';
import type { TimerService } from '../core/timers/index.ts';
import { Outcome } from '../core/world/index.ts';
import { waitUntil } from './wait-until.ts';
import type { DemoWorld, OperatorOutput } from './world.ts';

const FORM_DEADLINE_MS = 20_000;
const KIB_PER_MIB = 1_024;
const RESIDENT_LINE = /^VmRSS:\s+(?<kib>\d+) kB$/m;

/** Dependencies of a demo run. */
export interface SessionOptions {
  world: DemoWorld;
  timers: TimerService;
  print: (line: string) => void;
}

function checkOperator(what: string, { status, stdout, stderr }: OperatorOutput): string {
  if (status === 0) return stdout;
  throw new Error(
    `operator command "${what}" failed with exit status ${status}: ${stderr}${stdout}`,
  );
}

/** Reads the resident memory (VmRSS) of a process from /proc, in MiB. */
export function readResidentMib(pid: number): number {
  const kib = RESIDENT_LINE.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kib;
  return Math.round(Number(kib) / KIB_PER_MIB);
}

async function startDaemons({ world, timers, print }: SessionOptions): Promise<void> {
  const { entries } = world.topology;
  for (const entry of entries) {
    const startMs = timers.getMonotonicMs();
    const daemon = world.startEntry(entry);
    await world.waitForEntry(entry);
    const startedMs = Math.round(timers.getMonotonicMs() - startMs);
    const resident = readResidentMib(daemon.pid);
    print(`${entry.name} answers after ${startedMs} ms with ${resident} MiB resident`);
    world.startController(entry);
  }
}

async function applyDeclaration({ world, print }: SessionOptions): Promise<void> {
  const file = world.writeDeclaration();
  checkOperator('validate', await world.runOperator('validate', file));
  print(checkOperator('apply', await world.runOperator('apply', file, '--base', '0')).trim());
  print(checkOperator('status', await world.runOperator('status', '--wait')).trim());
}

async function waitForGroup({ world, timers, print }: SessionOptions): Promise<string> {
  const { platformPort, engines } = world.topology;
  const listServing = async (): Promise<string[]> => {
    const answer = (await world.sendControl(platformPort, '/objects/allocation')) as {
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

async function streamAnswer(caller: Caller, { print, timers }: SessionOptions): Promise<string> {
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

async function bookOrder(caller: Caller, { print }: SessionOptions): Promise<string> {
  const { requestId, outcome, status } = await caller.sendOrder({
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
async function checkBookings({ world, print }: SessionOptions, requestId: string): Promise<void> {
  const [target] = world.topology.services;
  const answer = await world.sendControl(target?.port ?? 0, '/bookings');
  const count = JSON.stringify(answer).split(requestId).length - 1;
  print(`the service booked the order ${count} time(s)`);
  if (count !== 1) throw new Error(`the order was booked ${count} times`);
}

async function printTimeline(
  options: SessionOptions,
  filter: '--group' | '--request',
  name: string,
): Promise<void> {
  const { print, world } = options;
  const output = await world.runOperator('timeline', filter, name);
  print(`timeline of ${name}:`);
  print(checkOperator('timeline', output).trim());
}

/**
 * Runs the demo from start to end: starts the processes, applies a declaration, waits until a group
 * serves, streams a completion, places an order and prints the timelines.
 */
export async function runSession(options: SessionOptions): Promise<void> {
  const { world, timers, print } = options;
  const { address, entries } = world.topology;
  await world.startStandIns();
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
