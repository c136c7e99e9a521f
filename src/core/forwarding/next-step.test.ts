import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RequestState } from './next-step.ts';
import { NextStep, planNextStep, RequestEvent } from './next-step.ts';
import { FailureReason } from './types.ts';

const ARRIVED: RequestState = {
  isRetryable: true,
  isPassedOn: false,
  mayHaveRun: false,
  isHalfDone: false,
  possiblyRunAttempts: 0,
  maxAttempts: 2,
  sends: 0,
  remainingMs: 5_000,
  waitedMs: 0,
  firstEventMs: 200,
};
const LOST: RequestState = { ...ARRIVED, mayHaveRun: true, possiblyRunAttempts: 1, sends: 1 };
const HALF_DONE: RequestState = { ...LOST, isHalfDone: true };

interface StepCase {
  name: string;
  event: RequestEvent;
  state: RequestState;
  step: NextStep;
  reason?: FailureReason;
}

const CASES: StepCase[] = [
  {
    name: 'looks for a target when it arrives',
    event: RequestEvent.Due,
    state: ARRIVED,
    step: NextStep.Try,
  },
  {
    name: 'waits in line if it has not run',
    event: RequestEvent.NoPlace,
    state: ARRIVED,
    step: NextStep.WaitForPlace,
  },
  {
    name: 'goes ahead of the line if it may have run',
    event: RequestEvent.NoPlace,
    state: LOST,
    step: NextStep.TryAgain,
  },
  {
    name: 'ends if no target is found for long',
    event: RequestEvent.NoPlace,
    state: { ...HALF_DONE, waitedMs: 1_500 },
    step: NextStep.End,
    reason: FailureReason.NoTarget,
  },
  {
    name: 'looks for another target at once when it has lost one',
    event: RequestEvent.AttemptEnded,
    state: HALF_DONE,
    step: NextStep.Try,
  },
  // Guards against streams that are sent on though their next event would come after the deadline.
  {
    name: 'ends if half done and no target could send an event in time',
    event: RequestEvent.AttemptEnded,
    state: { ...HALF_DONE, remainingMs: 150 },
    step: NextStep.End,
    reason: FailureReason.TimeLimit,
  },
  {
    name: 'does not wait until the deadline if half done and out of time',
    event: RequestEvent.NoPlace,
    state: { ...HALF_DONE, remainingMs: 150 },
    step: NextStep.End,
    reason: FailureReason.TimeLimit,
  },
  {
    name: 'is tried with little time left if nothing has gone to the caller',
    event: RequestEvent.AttemptEnded,
    state: { ...LOST, remainingMs: 150 },
    step: NextStep.Try,
  },
  {
    name: 'ends if no target could even begin',
    event: RequestEvent.Due,
    state: { ...ARRIVED, remainingMs: 5 },
    step: NextStep.End,
    reason: FailureReason.TimeLimit,
  },
  // Guards against a request that runs twice (TWICE), or on more targets than its route allows.
  {
    name: 'ends if it may have run and may not run again',
    event: RequestEvent.AttemptEnded,
    state: { ...LOST, isRetryable: false },
    step: NextStep.End,
    reason: FailureReason.TargetFailed,
  },
  {
    name: 'is sent again after a refusal though it may run once only',
    event: RequestEvent.AttemptEnded,
    state: { ...ARRIVED, isRetryable: false, sends: 1 },
    step: NextStep.Try,
  },
  {
    name: 'ends if parts of a body have gone to the caller',
    event: RequestEvent.AttemptEnded,
    state: { ...LOST, isPassedOn: true },
    step: NextStep.End,
    reason: FailureReason.TargetFailed,
  },
  {
    name: 'ends after the attempts of its route',
    event: RequestEvent.AttemptEnded,
    state: { ...LOST, possiblyRunAttempts: 2 },
    step: NextStep.End,
    reason: FailureReason.AttemptsUsed,
  },
  {
    name: 'ends after many refusals',
    event: RequestEvent.AttemptEnded,
    state: { ...ARRIVED, sends: 4 },
    step: NextStep.End,
    reason: FailureReason.AttemptsUsed,
  },
];

describe('a request', () => {
  for (const { name, event, state, step, reason } of CASES) {
    it(name, () => {
      const plan = planNextStep(event, state);
      expect({ step: plan.step, reason: 'reason' in plan ? plan.reason : undefined }).toEqual({
        step,
        reason,
      });
    });
  }
});
