export { createTargetChooser } from './choose-target.ts';
export type { TargetChooser } from './choose-target.ts';
export { forwardRequest } from './forward-request.ts';
export type {
  ForwardedRequest,
  RoutedRequest,
  ForwardingResult,
  ForwardingDependencies,
} from './forward-request.ts';
export { createRetryBudget } from './retry-budget.ts';
export type { CallerSink } from './caller-sink.ts';
export { createTargetClient } from './target-client.ts';
export { FailureReason, Outcome } from './types.ts';
export type { CallerRequest, WireFormat } from './types.ts';
