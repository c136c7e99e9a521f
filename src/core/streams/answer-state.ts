import type { EndEvent, TokenEvent } from '../targets/index.ts';

/** State of an answer: the current attempt and the next expected token offset. */
export interface AnswerState {
  request: string;
  attempt: string;
  nextOffset: number;
  /** Total number of tokens from the end event; set once all of them have arrived. */
  total?: number;
}

/** What the answer stream has to do after an event. */
export enum AnswerAction {
  /** Append the token, which is the next one of the answer. */
  Accept = 'accept',
  /** Ignore the event, which belongs to another request or attempt or is a duplicate. */
  Drop = 'drop',
  /** Resume the engine stream from the next offset, because tokens are missing. */
  Resume = 'resume',
  /** End the answer; all tokens up to the total have arrived. */
  Complete = 'complete',
  /** Abandon the engine stream; its end event names fewer tokens than the engine sent. */
  Reject = 'reject',
}

/** An event that may change the state of an answer. */
export type AnswerEvent =
  | { kind: 'attempt'; attempt: string }
  | { kind: 'token'; token: TokenEvent }
  | { kind: 'end'; end: EndEvent };

/** The next state and the action to take. */
export interface AnswerTransition {
  state: AnswerState;
  action: AnswerAction;
}

/** Creates the initial state of an answer whose first token has the given offset. */
export function createAnswerState(request: string, nextOffset = 0): AnswerState {
  return { request, attempt: '', nextOffset };
}

function applyToken(state: AnswerState, { offset }: TokenEvent): AnswerTransition {
  if (offset < state.nextOffset) return { state, action: AnswerAction.Drop };
  if (offset > state.nextOffset) return { state, action: AnswerAction.Resume };
  return { state: { ...state, nextOffset: offset + 1 }, action: AnswerAction.Accept };
}

function applyEnd(state: AnswerState, { total }: EndEvent): AnswerTransition {
  if (total > state.nextOffset) return { state, action: AnswerAction.Resume };
  if (total < state.nextOffset) return { state, action: AnswerAction.Reject };
  return { state: { ...state, total }, action: AnswerAction.Complete };
}

/** Applies one event. Only this function decides which tokens belong to an answer. */
export function applyAnswerEvent(state: AnswerState, event: AnswerEvent): AnswerTransition {
  if (state.total !== undefined) return { state, action: AnswerAction.Drop };
  if (event.kind === 'attempt') {
    return { state: { ...state, attempt: event.attempt }, action: AnswerAction.Accept };
  }
  const ids = event.kind === 'token' ? event.token : event.end;
  if (ids.request !== state.request || ids.attempt !== state.attempt) {
    return { state, action: AnswerAction.Drop };
  }
  return event.kind === 'token' ? applyToken(state, event.token) : applyEnd(state, event.end);
}
