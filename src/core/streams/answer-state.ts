import type { EndEvent, TokenEvent } from '../targets/index.ts';

/** What is known of an answer: the attempt in force and the next offset expected. */
export interface AnswerState {
  request: string;
  attempt: string;
  nextOffset: number;
  /** Total of the end event, once all tokens up to it have arrived. */
  total?: number;
}

/** What the stream does with an event. */
export enum AnswerStep {
  /** The token is the next of the answer. */
  Accept = 'accept',
  /** The event belongs to another request or attempt, or came twice. */
  Drop = 'drop',
  /** Tokens are missing; the stream is resumed from the next offset. */
  Resume = 'resume',
  /** All tokens up to the total have arrived. */
  Complete = 'complete',
  /** The engine contradicts itself; its stream can't be used. */
  Reject = 'reject',
}

/** Event that changes the state of an answer. */
export type AnswerEvent =
  | { kind: 'attempt'; attempt: string }
  | { kind: 'token'; token: TokenEvent }
  | { kind: 'end'; end: EndEvent };

/** Next state and what to do. */
export interface AnswerTransition {
  state: AnswerState;
  step: AnswerStep;
}

/** Creates the state of an answer whose first token has this offset. */
export function createAnswerState(request: string, nextOffset = 0): AnswerState {
  return { request, attempt: '', nextOffset };
}

function applyToken(state: AnswerState, { offset }: TokenEvent): AnswerTransition {
  if (offset < state.nextOffset) return { state, step: AnswerStep.Drop };
  if (offset > state.nextOffset) return { state, step: AnswerStep.Resume };
  return { state: { ...state, nextOffset: offset + 1 }, step: AnswerStep.Accept };
}

function applyEnd(state: AnswerState, { total }: EndEvent): AnswerTransition {
  if (total > state.nextOffset) return { state, step: AnswerStep.Resume };
  if (total < state.nextOffset) return { state, step: AnswerStep.Reject };
  return { state: { ...state, total }, step: AnswerStep.Complete };
}

/** Applies one event: the only place that decides which tokens belong to an answer. */
export function applyAnswerEvent(state: AnswerState, event: AnswerEvent): AnswerTransition {
  if (state.total !== undefined) return { state, step: AnswerStep.Drop };
  if (event.kind === 'attempt') {
    return { state: { ...state, attempt: event.attempt }, step: AnswerStep.Accept };
  }
  const ids = event.kind === 'token' ? event.token : event.end;
  if (ids.request !== state.request || ids.attempt !== state.attempt) {
    return { state, step: AnswerStep.Drop };
  }
  return event.kind === 'token' ? applyToken(state, event.token) : applyEnd(state, event.end);
}
