import type { ServiceSpec } from '../serving/index.ts';

/** Requests for a model, as all gateways together receive them. */
export interface ModelDemand {
  requestsPerSecond: number;
  /** Mean time for which a request takes a slot. */
  durationMs: number;
  /** Mean tokens of a prompt; undefined if unknown. */
  promptTokens?: number | undefined;
  /** Mean events of an answer; undefined if unknown. */
  answerEvents?: number | undefined;
}

/** Sizes of a request as its caller tells them; undefined if they are not told. */
export interface RequestSizes {
  promptTokens: number | undefined;
  /** Most tokens that the answer may have. */
  maxAnswerTokens: number | undefined;
  /** Tokens of the answer that the caller expects. */
  expectedAnswerTokens: number | undefined;
  bodyBytes: number;
}

/** What an estimate of a request's work is made from. */
export interface WorkInput {
  service: ServiceSpec;
  model: string | undefined;
  /** Name of the route. */
  route: string;
  /** Name of the customer; undefined for an anonymous request. */
  customer: string | undefined;
  sizes: RequestSizes;
}

/** Work of a request, known before it is sent. */
export interface Work {
  /** Time for which it will take a slot, in ms. */
  workMs: number;
  /** Whether it is among the largest tenth of its route's requests. */
  isLarge: boolean;
}
