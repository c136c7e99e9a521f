import { FailureReason } from './types.ts';

/** What has happened to a request that is being forwarded. */
export enum RequestEvent {
  /** It has arrived, or may look for a target again. */
  Due = 'due',
  /** No target can take it now. */
  NoPlace = 'no-place',
  /** The attempt at a target has failed, or the target has refused it. */
  AttemptEnded = 'attempt-ended',
}

/** What follows. */
export enum NextStep {
  /** Look for a target now. */
  Try = 'try',
  /** Wait in line for a place, or be refused at once if none will be free in time. */
  WaitForPlace = 'wait-for-place',
  /** Look for a target again in a moment, ahead of the requests in line. */
  TryAgain = 'try-again',
  End = 'end',
}

/** What is known of a request when something happens to it. */
export interface RequestState {
  /** Whether it may run more than once. */
  isRetryable: boolean;
  /** Whether parts of a body have gone to the caller that another target can't continue. */
  isPassedOn: boolean;
  /** Whether a target may have run it, so that it can't be refused as not run. */
  mayHaveRun: boolean;
  /** Whether events of its stream have gone to the caller. */
  isHalfDone: boolean;
  /** Attempts whose target may have run it, and the most that its route allows. */
  possiblyRunAttempts: number;
  maxAttempts: number;
  /** Sends of all kinds, refused ones included. */
  sends: number;
  /** Time until its response is due, in ms. */
  remainingMs: number;
  /** Time since it lost its last target, in ms. */
  waitedMs: number;
  /** Time in which a target with a free place sends its first event, in ms; 0 if unknown. */
  firstEventMs: number;
}

/** What follows, and the reason if the request ends. */
export type StepPlan =
  { step: Exclude<NextStep, NextStep.End> } | { step: NextStep.End; reason: FailureReason };

/** Longest wait of a request that a target has begun for another target. */
const MAX_RESUME_WAIT_MS = 1_500;
/** No attempt starts with less time left than this, as a target could not complete it. */
const MIN_REMAINING_MS = 10;
/** Most sends of one request, including refused ones; connections that failed do not count. */
const MAX_SENDS = 4;

/** Whether the request may be sent to another target after one that may have run it. */
export function mayRunAgain(state: RequestState): boolean {
  return state.isRetryable && !state.isPassedOn && state.possiblyRunAttempts < state.maxAttempts;
}

/** Whether a target could still send anything of use before the response is due. */
function hasTimeLeft({ remainingMs, isHalfDone, firstEventMs }: RequestState): boolean {
  return remainingMs >= Math.max(MIN_REMAINING_MS, isHalfDone ? firstEventMs : 0);
}

/** Decides what follows an attempt that has ended without the whole response. */
function planAfterAttempt(state: RequestState, failure: FailureReason): StepPlan {
  const isAllowed = (state.isRetryable || !state.mayHaveRun) && !state.isPassedOn;
  if (!isAllowed) return { step: NextStep.End, reason: failure };
  const isUsedUp = state.possiblyRunAttempts >= state.maxAttempts || state.sends >= MAX_SENDS;
  if (isUsedUp) return { step: NextStep.End, reason: FailureReason.AttemptsUsed };
  return { step: NextStep.Try };
}

/**
 * Decides what follows for a request. One that a target has begun looks for another target at once
 * and goes ahead of those in line: it has little left and much to lose. It ends as soon as no target
 * could send its next event before the response is due, and not only at its deadline.
 */
export function planNextStep(
  event: RequestEvent,
  state: RequestState,
  failure = FailureReason.TargetFailed,
): StepPlan {
  if (event === RequestEvent.AttemptEnded) {
    const plan = planAfterAttempt(state, failure);
    if (plan.step === NextStep.End) return plan;
  }
  if (!hasTimeLeft(state)) return { step: NextStep.End, reason: FailureReason.TimeLimit };
  if (event !== RequestEvent.NoPlace) return { step: NextStep.Try };
  if (!state.mayHaveRun) return { step: NextStep.WaitForPlace };
  if (state.waitedMs < MAX_RESUME_WAIT_MS) return { step: NextStep.TryAgain };
  return { step: NextStep.End, reason: FailureReason.NoTarget };
}
