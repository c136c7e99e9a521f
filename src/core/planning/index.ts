export { hasOutdatedGroup } from './conditions.ts';
export { listEngines } from './members.ts';
export { planGroups } from './plan-groups.ts';
export { formatReplicaName, listDeclaredReplicas } from './replicas.ts';
export * from './types.ts';
