import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../fleet/index.ts';
import { createLogger } from '../logs/index.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { StoreObject } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { World } from './world.ts';
import { createWorld } from './world.ts';

function createObject(name: string, spec: unknown = {}): StoreObject {
  return { name, revision: 1, spec, status: null };
}

function createTestWorld(): { world: World; timers: ReturnType<typeof createManualTimers> } {
  const timers = createManualTimers();
  const world = createWorld({
    timers,
    logger: createLogger('test'),
    decodeConfiguration: (spec) => ({ value: spec as ServingConfiguration }),
    decodeTarget: ({ name, spec }) =>
      spec === null ? undefined : ({ id: name, service: 's' } as Target),
  });
  return { world, timers };
}

function buildConfiguration(version: number): ServingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], customers: undefined, limits };
}

describe('world of a gateway', () => {
  // Guards against refusing all requests after an outage in which entries lapsed.
  it('keeps targets whose entries lapsed in an outage until they had time to return', () => {
    const { world, timers } = createTestWorld();
    const { targetListener } = world;
    targetListener.handleList([createObject('a'), createObject('b')]);
    targetListener.handleOutageEnd?.();
    targetListener.handleList([]);
    expect(world.fleet.listTargets('s').length).toEqual(2);
    targetListener.handleObject(createObject('a'));
    timers.runFor(2_500);
    expect(world.fleet.listTargets('s').map(({ id }) => id)).toEqual(['a']);
  });

  it('removes a deleted target at once without an outage', () => {
    const { world } = createTestWorld();
    world.targetListener.handleList([createObject('a')]);
    world.targetListener.handleDelete(createObject('a'));
    expect(world.fleet.listTargets('s')).toEqual([]);
  });

  it('removes a target whose entry another writer has spoiled', () => {
    const { world } = createTestWorld();
    world.targetListener.handleList([createObject('a')]);
    world.targetListener.handleObject(createObject('a', null));
    expect(world.fleet.listTargets('s')).toEqual([]);
  });

  // Guards against a configuration that goes back to an older version (CONFIG).
  it('never replaces a configuration by an older one', () => {
    const { world } = createTestWorld();
    for (const version of [4, 9, 7]) {
      world.configurationListener.handleObject(createObject('main', buildConfiguration(version)));
    }
    expect(world.getTable()?.version).toEqual(9);
  });

  it('follows the zones that operators take out and bring back', () => {
    const { world } = createTestWorld();
    world.evacuationListener.handleObject(createObject('zone-a'));
    expect(world.isZoneOut('zone-a')).toEqual(true);
    world.evacuationListener.handleDelete(createObject('zone-a'));
    expect(world.isZoneOut('zone-a')).toEqual(false);
  });
});
