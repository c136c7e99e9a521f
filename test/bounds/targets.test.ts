import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createAdvisories } from '../../src/core/advisories/index.ts';
import { createFleet, createTargetMonitor } from '../../src/core/fleet/index.ts';
import { buildTarget } from '../../src/core/fleet/fixtures/build-target.ts';
import { createTargetChooser } from '../../src/core/forwarding/choose-target.ts';
import type { ServiceSpec } from '../../src/core/serving/index.ts';
import { createManualTimers } from '../../src/core/timers/index.ts';
import { measureHeapBytes } from './measure-heap.ts';

const SERVICE: ServiceSpec = { name: 's', coldRequestsPerSecond: 20, engine: undefined };
/** Targets of a day on a site whose 300 engines start again every 20 minutes. */
const TARGETS = 20_000;
const REQUESTS = 5;
/** Heap that the code itself, the timers and the last targets may take. */
const MAX_GROWTH_BYTES = 1_000_000;
/** The monitor keeps records for a minute after the last request. */
const SETTLE_MS = 180_000;

describe('hours of targets that come and go', () => {
  // Guards against a process that grows with each target that it has ever sent a request to.
  it('leave nothing behind in the choice, the monitor, the advisories and the fleet', () => {
    const timers = createManualTimers();
    const fleet = createFleet();
    const monitor = createTargetMonitor({ timers });
    const position = { index: 0, count: 1 };
    const advisories = createAdvisories({
      timers,
      fleet,
      getFleetMs: timers.getMonotonicMs,
      getPosition: () => position,
      handleLimit: () => undefined,
      handleLeaving: () => undefined,
      handlePause: () => undefined,
      sendNow: () => undefined,
    });
    const chooser = createTargetChooser({
      timers,
      fleet,
      monitor,
      advisories,
      isZoneEvacuated: () => false,
      getPosition: () => position,
      getRequestsPerSecond: () => 0,
      random: () => 0.5,
    });
    const playTarget = (index: number): void => {
      const receivedMs = timers.getMonotonicMs();
      const target = buildTarget(`i-${index}`, { receivedMs, coldRemainingMs: 2_000 });
      fleet.setTarget(target);
      for (let request = 0; request < REQUESTS; request++) {
        const chosen = chooser.chooseTarget({
          service: SERVICE,
          model: undefined,
          triedIds: new Set(),
        });
        expect(chosen?.id).toEqual(target.id);
        const handle = monitor.startRequest(target.id, { handleSilence: () => undefined });
        advisories.recordSend(target.id, false);
        const isLimited = index % 2 === 0;
        advisories.recordAdvice(
          target,
          {
            requestsPerSecond: isLimited ? 1_000 : undefined,
            isLimitUnreadable: false,
            pauseMs: undefined,
            isLeaving: false,
          },
          timers.getMonotonicMs(),
        );
        handle.recordData();
        handle.recordEnd(false);
        timers.runFor(2);
      }
      monitor.markSuspect(target.id, 'silent');
      fleet.removeTarget(target.id);
    };
    for (let index = 0; index < 200; index++) playTarget(index);
    timers.runFor(SETTLE_MS);
    const startBytes = measureHeapBytes();
    for (let index = 200; index < TARGETS; index++) playTarget(index);
    timers.runFor(SETTLE_MS);
    const grownBytes = measureHeapBytes() - startBytes;
    expect([...fleet.listAllTargets()].length).toEqual(0);
    expect(
      chooser.countReadyTargets({ service: SERVICE, model: undefined, triedIds: new Set() }),
    ).toEqual(0);
    monitor.stop();
    advisories.stop();
    expect(grownBytes < MAX_GROWTH_BYTES).toEqual(true);
  });
});
