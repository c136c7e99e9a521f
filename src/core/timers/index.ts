export { createManualTimers } from './manual-timers.ts';
export { createTimerService } from './timer-service.ts';
export type { TimerErrorHandler } from './timer-service.ts';
export type { ManualTimers, TimerService, Unsubscribe } from './types.ts';
