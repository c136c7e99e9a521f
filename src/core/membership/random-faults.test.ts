import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { MemberState } from '../rpc/index.ts';
import type { FakeCluster } from './fixtures/fake-cluster.ts';
import { createFakeCluster, formatDaemonAddress } from './fixtures/fake-cluster.ts';

const SEED = 424_242;
const RUNS = 25;
const DAEMONS = 8;
const STEP_MS = 3_000;
const JOIN_MS = 5_000;
/** Time allowed between the end of all faults and full views; covers several retry periods. */
const HEAL_MS = 120_000;

enum Fault {
  Restart = 'restart',
  Pause = 'pause',
  Resume = 'resume',
  Loss = 'loss',
  BlockOutgoing = 'block-outgoing',
  Partition = 'partition',
  Heal = 'heal',
}

interface FaultStep {
  fault: Fault;
  daemon: number;
}

function applyFault(cluster: FakeCluster, { fault, daemon }: FaultStep): void {
  const { network } = cluster;
  const address = formatDaemonAddress(daemon);
  const { host } = cluster.getDaemon(daemon);
  switch (fault) {
    case Fault.Restart:
      host.crash();
      cluster.startDaemon(daemon);
      break;
    case Fault.Pause:
      host.pause();
      break;
    case Fault.Resume:
      host.resume();
      break;
    case Fault.Loss:
      network.setLoss(0.3);
      break;
    case Fault.BlockOutgoing:
      network.setBlocked((from) => from === address);
      break;
    case Fault.Partition:
      network.setBlocked((from, to) => from < address !== to < address);
      break;
    default:
      network.setBlocked(() => false);
      network.setLoss(0);
      break;
  }
}

function listIncompleteViews(cluster: FakeCluster): string[] {
  return [...cluster.daemons.values()].flatMap(({ membership, name }) =>
    [...cluster.daemons.values()]
      .filter((other) => {
        const member = membership.findMember(other.name);
        const record = other.membership.findMember(other.name);
        return member?.state !== MemberState.ALIVE || member.instance !== record?.instance;
      })
      .map((other) => `${name} does not see ${other.name}`),
  );
}

const faultStep: fc.Arbitrary<FaultStep> = fc.record({
  fault: fc.constantFrom(...Object.values(Fault)),
  daemon: fc.nat(DAEMONS - 1),
});

describe(`membership under random faults, seed ${SEED}`, () => {
  // Guards against sequences of faults after which some daemons never see each other as alive
  // again.
  it('restores a full view at all daemons after the faults', () => {
    const property = fc.property(
      fc.array(faultStep, { maxLength: 12 }),
      fc.nat(),
      (steps, seed) => {
        const cluster = createFakeCluster(DAEMONS, seed);
        cluster.clock.runFor(JOIN_MS);
        steps.forEach((step) => {
          applyFault(cluster, step);
          cluster.clock.runFor(STEP_MS);
        });
        applyFault(cluster, { fault: Fault.Heal, daemon: 0 });
        cluster.daemons.forEach(({ host }) => host.resume());
        cluster.clock.runFor(HEAL_MS);
        expect(listIncompleteViews(cluster)).toEqual([]);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});
