export { createTargetChooser } from './choose-target.ts';
export type { TargetChooser } from './choose-target.ts';
export { startRelay } from './relay.ts';
export type { Relay, RelayRequest, RelayResult, RelayServices } from './relay.ts';
export { createRetryBudget } from './retry-budget.ts';
export type { CallerSink } from './sink.ts';
export { createTargetClient } from './target-client.ts';
export { FailureReason, Outcome } from './types.ts';
export type { CallerRequest, WireFormat } from './types.ts';
