export * from './consts.ts';
export { computeLimitShare, computeSetSize, selectCustomerSet } from './customer-set.ts';
export { selectAddresses } from './select-addresses.ts';
export type * from './types.ts';
