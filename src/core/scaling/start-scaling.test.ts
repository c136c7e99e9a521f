import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { DutyHolder, ScaleOrder } from '../duties/index.ts';
import { DutyCallResult } from '../duties/index.ts';
import { createFleet } from '../fleet/index.ts';
import { buildTarget } from '../fleet/fixtures/build-target.ts';
import type { ServiceSpec } from '../serving/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { SCALING, SPEC } from './fixtures/scaling-play.ts';
import { startScaling } from './start-scaling.ts';

const SERVICE: ServiceSpec = {
  name: 's',
  coldRequestsPerSecond: 0,
  engine: SPEC,
  scaling: SCALING,
};
const ZONES = ['a', 'b', 'c'];
const ENGINES_PER_DOMAIN = 15;
const HOLDER: DutyHolder = { vmName: 'vm-1', token: 3 };

function createTestScaling(service: ServiceSpec = SERVICE) {
  const timers = createManualTimers();
  const fleet = createFleet();
  for (const zone of ZONES) {
    for (let index = 0; index < 2 * ENGINES_PER_DOMAIN; index++) {
      const fabricDomain = `${zone}${index % 2}`;
      fleet.setTarget(buildTarget(`${zone}-${index}`, { availabilityZone: zone, fabricDomain }));
    }
  }
  const orders: { order: ScaleOrder; token: number }[] = [];
  const results: DutyCallResult[] = [];
  const warnings: string[] = [];
  const state = {
    holder: undefined as DutyHolder | undefined,
    isFresh: true,
    answer: (): Promise<DutyCallResult> => Promise.resolve(DutyCallResult.Accepted),
  };
  const logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: (message: string) => warnings.push(message),
    error: (message: string) => warnings.push(message),
  };
  const scaling = startScaling({
    timers,
    logger,
    fleet,
    listServices: () => [service],
    getDemand: () => ({ requestsPerSecond: 20, durationMs: 900 }),
    isZoneEvacuated: () => false,
    isTargetCopyFresh: () => state.isFresh,
    getHolder: () => state.holder,
    orderTargetCount(holder, order) {
      orders.push({ order, token: holder.token });
      return state.answer();
    },
    getToleratedZones: () => 1,
    countOrder: (_order, result) => results.push(result),
  });
  return { timers, fleet, orders, results, warnings, state, scaling };
}

/** Creates a promise that never settles. */
function createPending(): { promise: Promise<DutyCallResult> } {
  return { promise: Promise.race<DutyCallResult>([]) };
}

const FIRST_ORDER = { service: 's', availabilityZone: 'c', targetCount: 9 };

describe('ordering of targets', () => {
  it('begins once this process holds the duties', async () => {
    const { timers, orders, results, state, scaling } = createTestScaling();
    await timers.runForAsync(20_000, 250);
    expect(orders).toEqual([]);
    state.holder = HOLDER;
    await timers.runForAsync(37_000, 250);
    expect(orders).toEqual([{ order: FIRST_ORDER, token: 3 }]);
    expect(results).toEqual([DutyCallResult.Accepted]);
    scaling.stop();
  });

  it('ends with the duty', async () => {
    const { timers, orders, state, scaling } = createTestScaling();
    state.holder = HOLDER;
    await timers.runForAsync(30_000, 250);
    state.holder = undefined;
    await timers.runForAsync(60_000, 250);
    expect(orders).toEqual([]);
    scaling.stop();
  });

  // Guards against acting on what a holder observed before another one acted.
  it('observes anew under a new token', async () => {
    const { timers, orders, state, scaling } = createTestScaling();
    state.holder = HOLDER;
    await timers.runForAsync(30_000, 250);
    state.holder = { ...HOLDER, token: 5 };
    await timers.runForAsync(30_000, 250);
    expect(orders).toEqual([]);
    await timers.runForAsync(7_500, 250);
    expect(orders).toEqual([{ order: FIRST_ORDER, token: 5 }]);
    scaling.stop();
  });

  it('waits while the copy of the targets is old', async () => {
    const { timers, orders, state, scaling } = createTestScaling();
    state.holder = HOLDER;
    state.isFresh = false;
    await timers.runForAsync(60_000, 250);
    expect(orders).toEqual([]);
    scaling.stop();
  });

  // Guards against reducing the others while a zone is away, and for ever after it is given up.
  it('takes a zone without targets for a lost one for ten minutes', async () => {
    const { timers, orders, state, scaling, fleet } = createTestScaling();
    state.isFresh = false;
    state.holder = HOLDER;
    await timers.runForAsync(1_000, 250);
    state.isFresh = true;
    await timers.runForAsync(1_000, 250);
    [...fleet.listTargets('s')]
      .filter(({ availabilityZone }) => availabilityZone === 'a')
      .forEach(({ id }) => fleet.removeTarget(id));
    await timers.runForAsync(590_000, 500);
    expect(orders).toEqual([]);
    await timers.runForAsync(30_000, 500);
    expect(orders.length > 0).toEqual(true);
    scaling.stop();
  });

  // Guards against a second call for a zone whose first one has no response yet.
  it('makes one call of a zone at a time', async () => {
    const { timers, orders, state, scaling } = createTestScaling();
    state.holder = HOLDER;
    const { promise } = createPending();
    state.answer = () => promise;
    await timers.runForAsync(60_000, 250);
    const zones = orders.map(({ order }) => order.availabilityZone);
    expect(zones.length).toEqual(new Set(zones).size);
    scaling.stop();
  });

  it('goes on after a call that throws', async () => {
    const { timers, orders, warnings, state, scaling } = createTestScaling();
    state.holder = HOLDER;
    state.answer = () => Promise.reject(new Error('test'));
    await timers.runForAsync(42_000, 250);
    expect(orders.length > 1).toEqual(true);
    expect(new Set(warnings)).toEqual(new Set(['failed to order targets']));
    scaling.stop();
  });

  const ignored = [
    { name: 'without bounds', service: { ...SERVICE, scaling: undefined }, warnings: 0 },
    { name: 'without engines', service: { ...SERVICE, engine: undefined }, warnings: 0 },
    {
      name: 'with bounds that are not usable, and says so once',
      service: { ...SERVICE, scaling: undefined, scalingProblem: 'min is above max' },
      warnings: 1,
    },
  ];
  for (const { name, service, warnings: expected } of ignored) {
    it(`leaves a service alone ${name}`, async () => {
      const { timers, orders, warnings, state, scaling } = createTestScaling(service);
      state.holder = HOLDER;
      await timers.runForAsync(60_000, 250);
      expect(orders).toEqual([]);
      expect(warnings.length).toEqual(expected);
      scaling.stop();
    });
  }
});
