export { isLocalFault } from './is-local-fault.ts';
