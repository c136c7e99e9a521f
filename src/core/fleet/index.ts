export { createFleet } from './fleet.ts';
export type { Fleet } from './fleet.ts';
export {
  ACTIVE_HEAD_STATES,
  formatGroupKey,
  areAllMembersOperational,
  buildGroups,
} from './groups.ts';
export { GroupState } from './types.ts';
export type { EngineGroup, GroupMembership, Target } from './types.ts';
export { computeTargetHash, formatTargetKey, parseTargetId } from './target-key.ts';
export { createTargetMonitor } from './target-monitor.ts';
export type { TargetLoad, TargetMonitor, RequestHandle } from './target-monitor.ts';
