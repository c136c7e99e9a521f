export { createPacedCalls } from './duty-calls.ts';
export { createHolderWatch } from './duty-holder.ts';
export type { HolderWatch } from './duty-holder.ts';
export { DutyCallResult } from './types.ts';
export type { DutyCalls, DutyHolder, DutySettings, ScaleOrder, UsageReport } from './types.ts';
