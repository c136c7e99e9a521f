export * from './consts.ts';
export {
  computeLimitShare,
  countCustomerDaemons,
  selectCustomerDaemons,
} from './customer-daemons.ts';
export { selectAddresses } from './select-addresses.ts';
export type * from './types.ts';
