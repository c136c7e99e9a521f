export * from './apply-allocation-event.ts';
export * from './consts.ts';
export * from './events.ts';
export * from './homes.ts';
export * from './lease.ts';
export * from './size.ts';
export * from './types.ts';
