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
