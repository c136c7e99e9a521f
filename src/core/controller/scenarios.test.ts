import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { GroupState } from '../allocation/index.ts';
import { buildConfiguration, buildVm } from '../planning/planning-fixture.ts';
import type { Vm } from '../domain-types/index.ts';
import { VmState } from '../domain-types/index.ts';
import { WriteFault } from './fixtures/fake-platform.ts';
import type { Simulation } from './fixtures/simulation.ts';
import { createSimulation } from './fixtures/simulation.ts';

/** Rewrites the golden files when set; the differences are reviewed like code. */
const { UPDATE_GOLDEN } = process.env;
const SETTLE_MS = 15_000;
const TAKEOVER_MS = 60_000;

const buildVms = (fabricDomain: string, count: number): Vm[] =>
  Array.from({ length: count }, (_, index) =>
    buildVm(`${fabricDomain}-vm-${index}`, { fabricDomain }),
  );
const ASSISTANT = { name: 'assistant', members: 2, replicas: 1, weight: 10 };
const ORDERS = { name: 'orders', members: 2, replicas: 1, weight: 4 };

interface Case {
  name: string;
  controllers: string[];
  vms: Vm[];
  replicas: number;
  run(simulation: Simulation): Promise<void>;
  /** Groups that serve at the end. */
  expected: string[];
}

async function killMember(simulation: Simulation): Promise<void> {
  const vm = simulation.listGroups()[0]?.members[0] ?? '';
  simulation.note('vm-killed', { vm });
  simulation.engines.setAlive(vm, false);
  await simulation.runFor(SETTLE_MS);
}

async function killMemberOfEach(simulation: Simulation): Promise<void> {
  const vms = simulation.listGroups().map(({ members }) => members[0] ?? '');
  vms.forEach((vm) => {
    simulation.note('vm-killed', { vm });
    simulation.engines.setAlive(vm, false);
  });
  await simulation.runFor(SETTLE_MS * 2);
}

async function pauseHolder(simulation: Simulation): Promise<void> {
  const holder = simulation.findHolder('fd-a');
  holder?.pauser.pauseAtNextWrite();
  simulation.note('pause-at-next-write', { process: holder?.name ?? '' });
  await simulation.runFor(TAKEOVER_MS);
  simulation.note('resume', { process: holder?.name ?? '' });
  holder?.pauser.resume();
  await simulation.runFor(SETTLE_MS);
}

async function stopPlatform(simulation: Simulation): Promise<void> {
  simulation.note('platform-down');
  simulation.platform.setDown(true);
  await simulation.runFor(TAKEOVER_MS);
  simulation.note('platform-up');
  simulation.platform.setDown(false);
  await simulation.runFor(SETTLE_MS);
}

async function loseAnswers(simulation: Simulation): Promise<void> {
  const holder = simulation.findHolder('fd-a')?.name ?? '';
  for (const fault of Object.values(WriteFault)) {
    simulation.note('write-fault', { process: holder, fault });
    simulation.platform.addWriteFault(holder, fault);
    await killMember(simulation);
  }
}

async function failDomain(simulation: Simulation): Promise<void> {
  const group = simulation.listGroups()[0];
  const domain = group?.members[0]?.slice(0, 'fd-a'.length) ?? '';
  simulation.note('domain-down', { fabricDomain: domain });
  const vms = simulation.platform.listVms().filter(({ fabricDomain }) => fabricDomain === domain);
  vms.forEach(({ name }) => simulation.engines.setAlive(name, false));
  await simulation.runFor(TAKEOVER_MS);
  simulation.note('domain-up', { fabricDomain: domain });
  vms.forEach(({ name }) => simulation.engines.setAlive(name, true));
  await simulation.runFor(SETTLE_MS);
}

async function sendLateOrder(simulation: Simulation): Promise<void> {
  simulation.platform.listVms().forEach(({ name }) => simulation.engines.ignoreFencing(name));
  // The holder is paused while it sends the order of a generation that its successor replaces.
  const holder = simulation.findHolder('fd-a');
  holder?.pauser.pauseAtNextOrder();
  simulation.note('pause-at-next-order', { process: holder?.name ?? '' });
  await killMember(simulation);
  await simulation.runFor(TAKEOVER_MS);
  const kept = simulation.listGroups()[0]?.members[1] ?? '';
  simulation.note('vm-killed', { vm: kept });
  simulation.engines.setAlive(kept, false);
  await simulation.runFor(SETTLE_MS);
  simulation.note('resume', { process: holder?.name ?? '' });
  holder?.pauser.resume();
  await simulation.runFor(SETTLE_MS);
}

async function moveVm(simulation: Simulation): Promise<void> {
  const vm = simulation.listGroups()[0]?.members[0] ?? '';
  simulation.note('vm-moved', { vm, to: 'fd-b' });
  const vms = simulation.platform.listVms();
  simulation.platform.setVms(
    vms.map((entry) => (entry.name === vm ? { ...entry, fabricDomain: 'fd-b' } : entry)),
  );
  await simulation.runFor(SETTLE_MS * 2);
}

async function drainVm(simulation: Simulation): Promise<void> {
  const [vm = '', other = ''] = simulation.listGroups()[0]?.members ?? [];
  simulation.engines.setRunning(vm, 1);
  simulation.note('vm-leaving', { vm: other, running: 1 });
  const vms = simulation.platform.listVms();
  simulation.platform.setVms(
    vms.map((entry) => (entry.name === other ? { ...entry, state: VmState.Leaving } : entry)),
  );
  await simulation.runFor(SETTLE_MS);
  simulation.note('requests-done', { vm });
  simulation.engines.setRunning(vm, 0);
  await simulation.runFor(SETTLE_MS);
}

async function stopHolder(simulation: Simulation): Promise<void> {
  const holder = simulation.findHolder('fd-a');
  simulation.note('stop', { process: holder?.name ?? '' });
  const stopped = holder?.controller.stop();
  await simulation.runFor(SETTLE_MS);
  await stopped;
}

// Each case guards against a wrong or missing reaction to one fault; the complete timeline is
// compared with a golden file.
const cases: Case[] = [
  {
    name: 'member-killed',
    controllers: ['a'],
    vms: buildVms('fd-a', 3),
    replicas: 1,
    run: killMember,
    expected: ['assistant-0'],
  },
  {
    name: 'controller-paused',
    controllers: ['a', 'b'],
    vms: buildVms('fd-a', 3),
    replicas: 1,
    run: pauseHolder,
    expected: ['assistant-0'],
  },
  {
    name: 'platform-outage',
    controllers: ['a', 'b'],
    vms: buildVms('fd-a', 3),
    replicas: 1,
    run: stopPlatform,
    expected: ['assistant-0'],
  },
  {
    name: 'write-answer-lost',
    controllers: ['a'],
    vms: buildVms('fd-a', 4),
    replicas: 1,
    run: loseAnswers,
    expected: ['assistant-0'],
  },
  {
    name: 'controllers-racing',
    controllers: ['a', 'b', 'c'],
    vms: buildVms('fd-a', 3),
    replicas: 1,
    run: (simulation) => simulation.runFor(SETTLE_MS),
    expected: ['assistant-0'],
  },
  {
    name: 'domain-down',
    controllers: ['a', 'b'],
    vms: [...buildVms('fd-a', 3), ...buildVms('fd-b', 3)],
    replicas: 1,
    run: failDomain,
    expected: ['assistant-0'],
  },
  {
    name: 'late-order',
    controllers: ['a', 'b'],
    vms: buildVms('fd-a', 4),
    replicas: 1,
    run: sendLateOrder,
    expected: ['assistant-0'],
  },
  {
    name: 'vm-moved',
    controllers: ['a', 'b'],
    vms: [...buildVms('fd-a', 3), ...buildVms('fd-b', 1)],
    replicas: 1,
    run: moveVm,
    expected: ['assistant-0'],
  },
  {
    name: 'vm-leaving',
    controllers: ['a'],
    vms: buildVms('fd-a', 3),
    replicas: 1,
    run: drainVm,
    expected: ['assistant-0'],
  },
  {
    name: 'controller-stopped',
    controllers: ['a', 'b'],
    vms: buildVms('fd-a', 3),
    replicas: 1,
    run: stopHolder,
    expected: ['assistant-0'],
  },
  {
    name: 'survivors-combined',
    controllers: ['a'],
    vms: buildVms('fd-a', 4),
    replicas: 2,
    run: killMemberOfEach,
    expected: ['assistant-0'],
  },
];

function compareWithGolden(name: string, text: string): void {
  const file = fileURLToPath(new URL(`golden/${name}.golden.txt`, import.meta.url));
  if (UPDATE_GOLDEN !== undefined) writeFileSync(file, text);
  const golden = existsSync(file) ? readFileSync(file, 'utf8') : '';
  expect(text).toEqual(golden);
}

describe('controller scenarios', () => {
  for (const testCase of cases) {
    it(testCase.name, async () => {
      const groups = testCase.replicas === 1 ? [ASSISTANT] : [ASSISTANT, ORDERS];
      const simulation = createSimulation(
        testCase.controllers,
        testCase.vms,
        buildConfiguration(groups),
      );
      await simulation.runFor(SETTLE_MS);
      simulation.note('fault-begins');
      await testCase.run(simulation);
      const serving = simulation.listGroups().filter(({ state }) => state === GroupState.Serving);
      expect(simulation.problems).toEqual([]);
      expect(serving.map(({ name }) => name)).toEqual(testCase.expected);
      compareWithGolden(testCase.name, simulation.formatTimeline());
    });
  }
});
