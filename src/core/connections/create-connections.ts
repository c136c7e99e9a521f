import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';
import { limitServer } from './limit-server.ts';
import type { ConnectionCount, ConnectionLimits, LimitConnections } from './types.ts';
import { ConnectionKind } from './types.ts';

/** How a connection was refused its place. */
export enum ConnectionRemoval {
  /** It had no request to be answered, and was closed to make room. */
  Closed = 'closed',
  /** It found no room. */
  Dropped = 'dropped',
}

/** Dependencies of `createConnections`. */
export interface ConnectionsOptions {
  limits: ConnectionLimits;
  timers: Pick<TimerService, 'getMonotonicMs' | 'scheduleOnce'>;
  logger: Pick<Logger, 'warn'>;
  /** Called for each connection that was closed or dropped because its kind is at its limit. */
  handleRemoval(kind: ConnectionKind, removal: ConnectionRemoval): void;
}

/** Open connections of the process, by kind. */
export interface Connections {
  limitServer: LimitConnections;
  /** Sets the function that counts the connections of a kind that no server accepts. */
  setCounter(kind: ConnectionKind, count: () => number): void;
  listCounts(): ConnectionCount[];
}

/** Interval between two log lines about one kind. */
const LINE_INTERVAL_MS = 10_000;

/** Creates the count of the open connections, and the limits of the servers that accept them. */
export function createConnections(options: ConnectionsOptions): Connections {
  const { limits, timers, logger } = options;
  const counters = new Map<ConnectionKind, () => number>();
  const removals = new Map<ConnectionKind, Record<ConnectionRemoval, number>>();
  const loggedMs = new Map<ConnectionKind, number>();

  const recordRemoval = (kind: ConnectionKind, removal: ConnectionRemoval): void => {
    options.handleRemoval(kind, removal);
    const counts = removals.get(kind) ?? { closed: 0, dropped: 0 };
    removals.set(kind, counts);
    counts[removal]++;
    const now = timers.getMonotonicMs();
    if (now - (loggedMs.get(kind) ?? -Infinity) < LINE_INTERVAL_MS) return;
    loggedMs.set(kind, now);
    const open = counters.get(kind)?.() ?? 0;
    const context = { kind, open, limit: limits[kind], ...counts };
    logger.warn('connections are near their limit', context);
  };

  return {
    limitServer(kind, server) {
      const count = limitServer(server, {
        maxConnections: limits[kind],
        timers,
        handleClosed: () => recordRemoval(kind, ConnectionRemoval.Closed),
        handleDropped: () => recordRemoval(kind, ConnectionRemoval.Dropped),
      });
      counters.set(kind, count);
    },
    setCounter: (kind, count) => {
      counters.set(kind, count);
    },
    listCounts: () =>
      Object.values(ConnectionKind).map((kind) => ({
        kind,
        open: counters.get(kind)?.() ?? 0,
        limit: limits[kind],
      })),
  };
}
