import type { ConnectionLimits } from './types.ts';
import { ConnectionKind } from './types.ts';

/** Descriptors that the platform reserves for files; sockets and pipes share the others. */
const FILE_DESCRIPTORS = 200;
/** Descriptors for sockets that a process has at least, whatever its settings state. */
const MIN_SOCKETS = 100;
/** Sockets and pipes of the process itself, of the store and of the exchange between gateways. */
const OWN_SOCKETS = 64;

/** Shares of the other sockets. What they leave over is for orders and queries to engines. */
const SHARES: Readonly<Record<ConnectionKind, number>> = {
  [ConnectionKind.Callers]: 0.55,
  [ConnectionKind.Targets]: 0.25,
  [ConnectionKind.Directory]: 0.08,
  [ConnectionKind.Readiness]: 0.01,
  [ConnectionKind.Metrics]: 0.01,
};
/** A readiness check and an operator need a few connections however small the limit is. */
const MIN_CONNECTIONS = 2;

/** Divides the file descriptors of the process among the kinds of connections. */
export function computeConnectionLimits(maxDescriptors: number): ConnectionLimits {
  const sockets = Math.max(MIN_SOCKETS, maxDescriptors - FILE_DESCRIPTORS) - OWN_SOCKETS;
  const limit = (kind: ConnectionKind): number =>
    Math.max(MIN_CONNECTIONS, Math.floor(sockets * SHARES[kind]));
  return {
    [ConnectionKind.Callers]: limit(ConnectionKind.Callers),
    [ConnectionKind.Targets]: limit(ConnectionKind.Targets),
    [ConnectionKind.Directory]: limit(ConnectionKind.Directory),
    [ConnectionKind.Readiness]: limit(ConnectionKind.Readiness),
    [ConnectionKind.Metrics]: limit(ConnectionKind.Metrics),
  };
}
