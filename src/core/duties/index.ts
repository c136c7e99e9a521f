export { createPacedCalls } from './duty-calls.ts';
export { createHolderWatch } from './duty-holder.ts';
export type { HolderWatch } from './duty-holder.ts';
export { DutyCallResult } from './types.ts';
export type {
  DutyCalls,
  DutyHolder,
  DutySettings,
  GatewayUsage,
  ScaleOrder,
  UsageReport,
} from './types.ts';
export { createUsageBook } from './usage-book.ts';
export type { UsageBook } from './usage-book.ts';
export { createUsageReporter, WindowResult } from './usage-reporter.ts';
export type { UsageReporter } from './usage-reporter.ts';
