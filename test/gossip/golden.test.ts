import { readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { formatEvent } from '../../src/core/events/index.ts';
import type { FakeFleet } from '../../src/core/relay/fixtures/fake-fleet.ts';
import { createFakeFleet } from '../../src/core/relay/fixtures/fake-fleet.ts';
import { PlatformState } from '../../src/core/relay/fixtures/fake-platform.ts';

const SEED = 20_260_103;
const FOLDER = 'test/gossip/golden';
/** Three per availability zone: two relays, and one daemon that is not a relay. */
const DAEMONS = 9;
const JOIN_MS = 6_000;
const LONG_STEP_MS = 100;
const MINUTE_MS = 60_000;

interface Scenario {
  /** Name of the golden file. */
  name: string;
  title: string;
  /** Includes the start of the fleet, which is the same in all scenarios, in the golden file. */
  includesStart?: boolean;
  run(fleet: FakeFleet): Promise<void>;
}

const scenarios: Scenario[] = [
  {
    name: 'configuration-change',
    title: 'replicates a change from the relays to all daemons',
    includesStart: true,
    async run(fleet) {
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(5_000);
    },
  },
  {
    name: 'relay-crash',
    title: 'replaces a crashed relay, which later rejoins without copies',
    async run(fleet) {
      const index = fleet.daemons.findIndex(({ relay }) => relay.isActive());
      fleet.getDaemon(index).host.crash();
      await fleet.clock.runForAsync(15_000);
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(5_000);
      fleet.startDaemon(index);
      await fleet.clock.runForAsync(10_000);
    },
  },
  {
    name: 'old-copy',
    title: 'updates the old copy of a resumed relay while the platform is down',
    async run(fleet) {
      const { host } = fleet.getDaemon(0);
      host.pause();
      await fleet.clock.runForAsync(15_000);
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(5_000);
      fleet.platform.setState(PlatformState.Down);
      host.resume();
      await fleet.clock.runForAsync(15_000);
    },
  },
  {
    name: 'restart-in-outage',
    title: 'replicates copies from peers to a restarted daemon while the platform is down',
    async run(fleet) {
      fleet.platform.setState(PlatformState.Down);
      await fleet.clock.runForAsync(5_000);
      fleet.getDaemon(3).host.crash();
      fleet.startDaemon(3);
      await fleet.clock.runForAsync(10_000);
      fleet.platform.setState(PlatformState.Up);
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(10_000);
    },
  },
  {
    name: 'partition',
    title: 'keeps the last version on the side without the platform, and converges afterwards',
    async run(fleet) {
      const isFirstSide = (address: string): boolean => Number(address.split('.').at(-1)) <= 4;
      fleet.network.setBlocked((from, to) => isFirstSide(from) !== isFirstSide(to));
      await fleet.clock.runForAsync(5 * MINUTE_MS, LONG_STEP_MS);
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(5 * MINUTE_MS, LONG_STEP_MS);
      fleet.network.setBlocked(() => false);
      await fleet.clock.runForAsync(MINUTE_MS);
    },
  },
  {
    name: 'planned-stop',
    title: 'hands over the watch of a leaving relay before it stops',
    async run(fleet) {
      const index = fleet.daemons.findIndex(({ relay }) => relay.isActive());
      const { host, membership, relay } = fleet.getDaemon(index);
      membership.markLeaving();
      await fleet.clock.runForAsync(10_000);
      relay.close();
      await membership.close();
      host.crash();
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(5_000);
    },
  },
];

/** Compares the text with a golden file; UPDATE_GOLDEN=1 rewrites the file first. */
function checkGolden(name: string, text: string): void {
  const file = `${FOLDER}/${name}.golden.txt`;
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(file, text);
  expect(text).toEqual(readFileSync(file, 'utf8'));
}

describe(`timelines of configuration replication, seed ${SEED}`, () => {
  for (const { name, title, includesStart = false, run } of scenarios) {
    // Guards against changes in the order or number of events that no other test detects.
    it(title, async () => {
      const fleet = await createFakeFleet({ daemons: DAEMONS, seed: SEED });
      const version = fleet.writeConfiguration();
      await fleet.clock.runForAsync(JOIN_MS);
      expect(fleet.hasVersion(version)).toEqual(true);
      const sinceWallMs = includesStart ? 0 : fleet.clock.getWallMs();
      await run(fleet);
      expect(fleet.violations).toEqual([]);
      const events = fleet.readTimeline().filter((event) => event.wallMs >= sinceWallMs);
      checkGolden(name, `${events.map(formatEvent).join('\n')}\n`);
    });
  }
});
