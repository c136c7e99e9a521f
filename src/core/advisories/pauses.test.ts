import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  REFUSAL_HEAD,
  RESPONSE_HEAD,
  startTestForwarding,
} from '../forwarding/fixtures/forwarding-harness.ts';
import { FailureReason } from '../forwarding/index.ts';
import { RequestKind } from '../serving/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { buildTarget } from '../fleet/fixtures/build-target.ts';
import { createTestAdvisories } from './fixtures/test-advisories.ts';
import { NO_ADVICE } from './index.ts';

const TARGET = buildTarget('i-1');

describe('a target that wants no requests for a time', () => {
  // Each guards against requests that reach it in spite of its Retry-After (rule BUDGET).
  const cases = [
    { name: 'for that time', pausesMs: [2_000], freeAfterMs: 2_000 },
    { name: 'for the longer of two times', pausesMs: [2_000, 500], freeAfterMs: 2_000 },
    { name: 'for the later of two times', pausesMs: [500, 2_000], freeAfterMs: 2_000 },
    { name: 'not at all if it says so', pausesMs: [0], freeAfterMs: 0 },
    { name: 'for ten minutes at most', pausesMs: [1e300], freeAfterMs: 600_000 },
  ];
  for (const { name, pausesMs, freeAfterMs } of cases) {
    it(`is spared ${name}`, () => {
      const timers = createManualTimers();
      const advisories = createTestAdvisories(timers);
      pausesMs.forEach((pauseMs) => advisories.recordAdvice(TARGET, { ...NO_ADVICE, pauseMs }, 0));
      if (freeAfterMs > 0) {
        timers.runFor(freeAfterMs - 1);
        expect(advisories.hasTurn(TARGET)).toEqual(false);
        expect(advisories.takeTurn(TARGET)).toEqual(false);
        timers.runFor(1);
      }
      expect(advisories.takeTurn(TARGET)).toEqual(true);
    });
  }

  it('is asked again after a new start, and by other gateways', () => {
    const timers = createManualTimers();
    const [first, second] = [createTestAdvisories(timers), createTestAdvisories(timers)];
    first.recordAdvice(TARGET, { ...NO_ADVICE, pauseMs: 5_000 }, 0);
    second.receiveNotices(first.takeNotices());
    expect(second.hasTurn(TARGET)).toEqual(true);
    expect(first.hasTurn(buildTarget('i-1', { startedWallMs: 6 }))).toEqual(true);
  });

  // Guards against callers that are kept waiting, or sent back too early, when no target is left.
  it('has its callers refused at once, with the time that it names', () => {
    const harness = startTestForwarding({ kind: RequestKind.Idempotent, targetCount: 1 });
    const { timers, sends, caller, getCallerHeaders } = harness;
    const advice = { ...NO_ADVICE, pauseMs: 3_000 };
    sends[0]!.listener.handleSent();
    sends[0]!.listener.handleHead({ ...REFUSAL_HEAD, advice });
    sends[0]!.listener.handleEnd(true);
    timers.runFor(1);
    expect(caller.status).toEqual(503);
    expect(Number(getCallerHeaders()[1])).toBeGreaterThanOrEqual(3_000);
  });

  // Guards against log lines that name a limit where no target has stated any.
  it('is not named as the cause of a refusal that comes late', () => {
    const harness = startTestForwarding({ kind: RequestKind.Idempotent, targetCount: 1 });
    const { timers, sends, getResult } = harness;
    sends[0]!.listener.handleSent();
    timers.runFor(250);
    sends[0]!.listener.handleHead(REFUSAL_HEAD);
    sends[0]!.listener.handleEnd(true);
    timers.runFor(1);
    expect(getResult()?.reason).toEqual(FailureReason.NoTarget);
  });

  it('leaves its request to another target', () => {
    const harness = startTestForwarding({ kind: RequestKind.Idempotent, targetCount: 2 });
    const { sends, caller } = harness;
    const advice = { ...NO_ADVICE, pauseMs: 3_000 };
    sends[0]!.listener.handleSent();
    sends[0]!.listener.handleHead({ ...REFUSAL_HEAD, advice });
    sends[0]!.listener.handleEnd(true);
    expect(sends[1]?.request.target.id).not.toEqual(sends[0]?.request.target.id);
    sends[1]!.listener.handleSent();
    sends[1]!.listener.handleHead(RESPONSE_HEAD);
    sends[1]!.listener.handleEnd(true);
    expect(caller.status).toEqual(200);
  });
});
