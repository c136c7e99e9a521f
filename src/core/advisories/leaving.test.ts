import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../fleet/index.ts';
import { createFleet, createTargetMonitor, GroupState } from '../fleet/index.ts';
import { createTargetChooser } from '../forwarding/index.ts';
import type { ServiceSpec } from '../serving/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { buildTarget } from '../fleet/fixtures/build-target.ts';
import { createTestAdvisories } from './fixtures/test-advisories.ts';
import { NO_ADVICE } from './index.ts';

const MODEL = {
  name: 'm',
  groupSize: 2,
  engineShareWeight: 1,
  pace: 1,
  loadMs: 1,
  stagedJoinMs: 1,
};
const ENGINES: ServiceSpec = {
  name: 's',
  coldRequestsPerSecond: 0,
  engine: { slots: 4, models: [MODEL], loadsPerSecond: 1, maxUnslowedLoads: 1, openMs: 0 },
};
const PLAIN: ServiceSpec = { ...ENGINES, engine: undefined };

/** A gateway that knows the given targets. */
function startGateway(targets: readonly Target[], service: ServiceSpec) {
  const timers = createManualTimers();
  const fleet = createFleet();
  fleet.resetTargets(targets);
  const advisories = createTestAdvisories(timers, {}, fleet);
  const chooser = createTargetChooser({
    timers,
    fleet,
    monitor: createTargetMonitor({ timers }),
    advisories,
    isZoneEvacuated: () => false,
    getPosition: () => ({ index: 0, count: 1 }),
    getRequestsPerSecond: () => 0,
    random: () => 0,
  });
  const choose = (): string | undefined =>
    chooser.chooseTarget({ service, model: undefined, triedIds: new Set() })?.id;
  return { fleet, advisories, choose };
}

const [FIRST, SECOND] = [buildTarget('i-1'), buildTarget('i-2')];
const LEAVING = { ...NO_ADVICE, isLeaving: true };

const buildMember = (id: string, rank: number): Target =>
  buildTarget(id, {
    currentModel: 'm',
    group: { name: 'g', epoch: 1, rank, state: rank === 0 ? GroupState.Open : GroupState.Ready },
  });

describe('a target that says that it is leaving', () => {
  // Each guards against requests to a target whose entry does not say that it is leaving (rule DRAIN).
  it('gets no more requests', () => {
    const { advisories, choose } = startGateway([FIRST, SECOND], PLAIN);
    advisories.recordAdvice(FIRST, LEAVING, 0);
    expect([choose(), choose(), choose()]).toEqual(['i-2', 'i-2', 'i-2']);
  });

  it('gets none after its entry is written again', () => {
    const { advisories, choose, fleet } = startGateway([FIRST], PLAIN);
    advisories.recordAdvice(FIRST, LEAVING, 0);
    fleet.setTarget({ ...FIRST, coldRemainingMs: 3 });
    expect(choose()).toEqual(undefined);
    fleet.removeTarget(FIRST.id);
    fleet.resetTargets([FIRST]);
    expect(choose()).toEqual(undefined);
  });

  it('gets none from a gateway that another one has told', () => {
    const teller = startGateway([FIRST, SECOND], PLAIN);
    const listener = startGateway([FIRST, SECOND], PLAIN);
    teller.advisories.recordAdvice(FIRST, LEAVING, 0);
    const notices = teller.advisories.takeNotices();
    expect(listener.advisories.receiveNotices(notices)).toEqual(true);
    expect(listener.advisories.receiveNotices(notices)).toEqual(false);
    expect([listener.choose(), listener.choose()]).toEqual(['i-2', 'i-2']);
  });

  it('gets none when it is a member of a group, or its head', () => {
    for (const rank of [0, 1]) {
      const members = [buildMember('i-1', 0), buildMember('i-2', 1)];
      const { advisories, choose } = startGateway(members, ENGINES);
      expect(choose()).toEqual('i-1');
      advisories.recordAdvice(members[rank]!, LEAVING, 0);
      expect(choose()).toEqual(undefined);
    }
  });

  it('gets requests again after a new start under the same id', () => {
    const { advisories, choose, fleet } = startGateway([FIRST], PLAIN);
    advisories.recordAdvice(FIRST, LEAVING, 0);
    fleet.setTarget({ ...FIRST, startedWallMs: 6 });
    expect(choose()).toEqual('i-1');
  });

  it('is no longer told of once its entry says so', () => {
    const { advisories, fleet } = startGateway([FIRST], PLAIN);
    advisories.recordAdvice(FIRST, LEAVING, 0);
    expect(advisories.takeNotices().leavingKeys).toEqual(['i-1@5']);
    fleet.setTarget({ ...FIRST, isLeaving: true });
    expect(advisories.takeNotices().leavingKeys).toEqual([]);
  });
});
