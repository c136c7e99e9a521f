export { createLeaderElection } from './create-leader-election.ts';
export type { LeaderElection } from './create-leader-election.ts';
