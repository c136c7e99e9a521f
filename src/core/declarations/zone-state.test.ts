import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlatformClient } from '../object-api/index.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';
import type { PlatformFixture } from './fixtures/platform.ts';
import { createPlatformFixture, EXAMPLE, TIMERS } from './fixtures/platform.ts';
import { ApplyOutcome, applyDeclaration, applyZoneState, fetchConfiguration } from './index.ts';

describe('applyZoneState', () => {
  let fixture: PlatformFixture;
  let nextId = 0;

  beforeEach(async () => {
    fixture = await createPlatformFixture();
  });
  afterEach(() => fixture.close());

  function applyZone(availabilityZone: string, state: AvailabilityZoneState, writeId = 'zone') {
    const change = { availabilityZone, state, operator: 'ana', note: '', writeId };
    return applyZoneState(fixture.client, TIMERS, change, () => `retry-${nextId++}`);
  }

  async function getZoneState(name: string): Promise<unknown> {
    const { configuration } = await fetchConfiguration(fixture.client);
    return configuration.availabilityZones.find((zone) => zone.name === name)?.state;
  }

  it('takes a zone out of service and settles a write whose response was lost', async () => {
    fixture.standIn.faults.loseWriteAnswers = 1;
    const result = await applyZone('sofia-b', AvailabilityZoneState.Out);
    expect(result.outcome).toEqual(ApplyOutcome.Applied);
    expect(await getZoneState('sofia-b')).toEqual(AvailabilityZoneState.Out);
  });

  it('writes nothing when the zone is already in the requested state', async () => {
    const result = await applyZone('sofia-b', AvailabilityZoneState.In);
    expect(result).toEqual({ outcome: ApplyOutcome.Unchanged, version: 1 });
  });

  // Guards against a zone that stays in service because another change was written first.
  it('retries on top of other changes that are written first', async () => {
    const results = await Promise.all([
      applyZone('sofia-a', AvailabilityZoneState.Out, 'zone-a'),
      applyZone('sofia-b', AvailabilityZoneState.Out, 'zone-b'),
      applyZone('sofia-c', AvailabilityZoneState.Out, 'zone-c'),
    ]);
    expect(results.map(({ outcome }) => outcome)).toEqual(
      Array.from({ length: 3 }, () => ApplyOutcome.Applied),
    );
    const { configuration } = await fetchConfiguration(fixture.client);
    const states = configuration.availabilityZones.map(({ state }) => state);
    expect(states).toEqual(Array.from({ length: 3 }, () => AvailabilityZoneState.Out));
  });

  // Guards against silently overwriting a concurrent change to the same zone.
  it('reports a conflict when the row of the zone was changed concurrently', async () => {
    const changedRegions = {
      ...EXAMPLE,
      availabilityZones: EXAMPLE.availabilityZones.map((zone) => ({ ...zone, region: 'plovdiv' })),
    };
    const racingClient: PlatformClient = {
      ...fixture.client,
      async writeObject(write) {
        await applyDeclaration(fixture.client, TIMERS, {
          declaration: changedRegions,
          baseVersion: 1,
          operator: 'ana',
          note: '',
          writeId: 'moved',
        });
        return fixture.client.writeObject(write);
      },
    };
    const result = await applyZoneState(
      racingClient,
      TIMERS,
      {
        availabilityZone: 'sofia-a',
        state: AvailabilityZoneState.Out,
        operator: 'boris',
        note: '',
        writeId: 'zone',
      },
      () => 'retry',
    );
    if (result.outcome !== ApplyOutcome.Conflict) throw new Error(`got ${result.outcome}`);
    expect(result.conflict.rows.map(({ change }) => change.path)).toEqual([
      'availabilityZones/sofia-a',
    ]);
  });

  it('suggests a name for an unknown zone', async () => {
    await expect(applyZone('sofia-bb', AvailabilityZoneState.Out)).toBeRejectedWith(
      /did you mean "sofia-/,
    );
  });
});
