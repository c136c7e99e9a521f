import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { GroupState } from '../allocation/index.ts';
import { buildConfiguration, buildVm } from '../planning/planning-fixture.ts';
import type { Vm } from '../world/index.ts';
import { VmState } from '../world/index.ts';
import { WriteFault } from './fixtures/fake-platform.ts';
import type { Session } from './fixtures/session.ts';
import { createSession } from './fixtures/session.ts';

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
  run(session: Session): Promise<void>;
  /** Groups that serve at the end. */
  expected: string[];
}

async function killMember(session: Session): Promise<void> {
  const vm = session.listGroups()[0]?.members[0] ?? '';
  session.note('vm-killed', { vm });
  session.engines.setAlive(vm, false);
  await session.runFor(SETTLE_MS);
}

async function killMemberOfEach(session: Session): Promise<void> {
  const vms = session.listGroups().map(({ members }) => members[0] ?? '');
  vms.forEach((vm) => {
    session.note('vm-killed', { vm });
    session.engines.setAlive(vm, false);
  });
  await session.runFor(SETTLE_MS * 2);
}

async function pauseHolder(session: Session): Promise<void> {
  const holder = session.findHolder('fd-a');
  holder?.gate.pauseAtNextWrite();
  session.note('pause-at-next-write', { process: holder?.name ?? '' });
  await session.runFor(TAKEOVER_MS);
  session.note('resume', { process: holder?.name ?? '' });
  holder?.gate.resume();
  await session.runFor(SETTLE_MS);
}

async function stopPlatform(session: Session): Promise<void> {
  session.note('platform-down');
  session.platform.setDown(true);
  await session.runFor(TAKEOVER_MS);
  session.note('platform-up');
  session.platform.setDown(false);
  await session.runFor(SETTLE_MS);
}

async function loseAnswers(session: Session): Promise<void> {
  const holder = session.findHolder('fd-a')?.name ?? '';
  for (const fault of Object.values(WriteFault)) {
    session.note('write-fault', { process: holder, fault });
    session.platform.addWriteFault(holder, fault);
    await killMember(session);
  }
}

async function darkenDomain(session: Session): Promise<void> {
  const group = session.listGroups()[0];
  const domain = group?.members[0]?.slice(0, 'fd-a'.length) ?? '';
  session.note('domain-down', { fabricDomain: domain });
  const vms = session.platform.listVms().filter(({ fabricDomain }) => fabricDomain === domain);
  vms.forEach(({ name }) => session.engines.setAlive(name, false));
  await session.runFor(TAKEOVER_MS);
  session.note('domain-up', { fabricDomain: domain });
  vms.forEach(({ name }) => session.engines.setAlive(name, true));
  await session.runFor(SETTLE_MS);
}

async function sendLateOrder(session: Session): Promise<void> {
  session.platform.listVms().forEach(({ name }) => session.engines.ignoreFencing(name));
  // The holder is paused while it sends the order of a generation that its successor replaces.
  const holder = session.findHolder('fd-a');
  holder?.gate.pauseAtNextOrder();
  session.note('pause-at-next-order', { process: holder?.name ?? '' });
  await killMember(session);
  await session.runFor(TAKEOVER_MS);
  const kept = session.listGroups()[0]?.members[1] ?? '';
  session.note('vm-killed', { vm: kept });
  session.engines.setAlive(kept, false);
  await session.runFor(SETTLE_MS);
  session.note('resume', { process: holder?.name ?? '' });
  holder?.gate.resume();
  await session.runFor(SETTLE_MS);
}

async function moveVm(session: Session): Promise<void> {
  const vm = session.listGroups()[0]?.members[0] ?? '';
  session.note('vm-moved', { vm, to: 'fd-b' });
  const vms = session.platform.listVms();
  session.platform.setVms(
    vms.map((entry) => (entry.name === vm ? { ...entry, fabricDomain: 'fd-b' } : entry)),
  );
  await session.runFor(SETTLE_MS * 2);
}

async function drainVm(session: Session): Promise<void> {
  const [vm = '', other = ''] = session.listGroups()[0]?.members ?? [];
  session.engines.setRunning(vm, 1);
  session.note('vm-leaving', { vm: other, running: 1 });
  const vms = session.platform.listVms();
  session.platform.setVms(
    vms.map((entry) => (entry.name === other ? { ...entry, state: VmState.Leaving } : entry)),
  );
  await session.runFor(SETTLE_MS);
  session.note('requests-done', { vm });
  session.engines.setRunning(vm, 0);
  await session.runFor(SETTLE_MS);
}

async function stopHolder(session: Session): Promise<void> {
  const holder = session.findHolder('fd-a');
  session.note('stop', { process: holder?.name ?? '' });
  const stopped = holder?.controller.stop();
  await session.runFor(SETTLE_MS);
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
    run: (session) => session.runFor(SETTLE_MS),
    expected: ['assistant-0'],
  },
  {
    name: 'domain-down',
    controllers: ['a', 'b'],
    vms: [...buildVms('fd-a', 3), ...buildVms('fd-b', 3)],
    replicas: 1,
    run: darkenDomain,
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
      const session = createSession(testCase.controllers, testCase.vms, buildConfiguration(groups));
      await session.runFor(SETTLE_MS);
      session.note('fault-begins');
      await testCase.run(session);
      const serving = session.listGroups().filter(({ state }) => state === GroupState.Serving);
      expect(session.problems).toEqual([]);
      expect(serving.map(({ name }) => name)).toEqual(testCase.expected);
      compareWithGolden(testCase.name, session.formatTimeline());
    });
  }
});
