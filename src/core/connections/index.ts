export { computeConnectionLimits } from './compute-limits.ts';
export { ConnectionRemoval, createConnections } from './create-connections.ts';
export { isLocalFault } from './is-local-fault.ts';
export { ConnectionKind } from './types.ts';
export type { ConnectionCount, LimitConnections } from './types.ts';
