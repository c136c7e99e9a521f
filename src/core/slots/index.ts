export { applySlotEvent, buildTargetSlots, countFreeSlots } from './apply-slot-event.ts';
export * from './consts.ts';
export { createGranter } from './granter.ts';
export type { Granter, GranterOptions } from './granter.ts';
export { createSlotClient } from './slot-client.ts';
export type { SlotClientOptions } from './slot-client.ts';
export * from './slot-state.ts';
export type * from './types.ts';
