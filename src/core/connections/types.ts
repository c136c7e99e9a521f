import type { Server } from 'node:http';

/** Peers whose TCP connections are counted and limited together. */
export enum ConnectionKind {
  Callers = 'callers',
  Targets = 'targets',
  Directory = 'directory',
  Readiness = 'readiness',
  Metrics = 'metrics',
}

/** Most open connections of each kind. */
export type ConnectionLimits = Readonly<Record<ConnectionKind, number>>;

/** Open connections of one kind, and its limit. */
export interface ConnectionCount {
  kind: ConnectionKind;
  open: number;
  limit: number;
}

/** Limits the connections of one kind that a server accepts, and counts them. */
export type LimitConnections = (kind: ConnectionKind, server: Server) => void;
