import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { TimerService } from '../../core/timers/index.ts';

/** How a proxy treats connections and the bytes on them. */
export enum ProxyMode {
  Pass = 'pass',
  /** Forwards bytes after a delay. */
  Delay = 'delay',
  /** Resets all existing and new connections. */
  Reset = 'reset',
  /** Drops bytes in both directions; a connection that has dropped bytes stays silent for good. */
  Silent = 'silent',
  /** Forwards bytes to the server and drops those from it. */
  OneWay = 'one-way',
}

/** A TCP proxy in front of one server, which injects network faults. */
export interface TcpProxy {
  address: string;
  setMode(mode: ProxyMode): void;
  close(): Promise<void>;
}

/**
 * Delay in `ProxyMode.Delay`. By its specification, the store responds in 4 ms, but can be up to
 * 60 times slower.
 */
const DELAY_MS = 200;

/** Starts a proxy on a free port of the host. */
export async function startTcpProxy(
  host: string,
  server: { host: string; port: number },
  timers: Pick<TimerService, 'getMonotonicMs' | 'scheduleOnce'>,
): Promise<TcpProxy> {
  let mode = ProxyMode.Pass;
  const sockets = new Set<Socket>();

  const addSocket = (socket: Socket): void => {
    sockets.add(socket);
    // A failed socket also emits `close`, whose handler closes the peer.
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  };

  const forwardBytes = (from: Socket, to: Socket, isFromServer: boolean): void => {
    // TCP never loses bytes in the middle of a stream, so a direction that has dropped bytes stays
    // silent for good.
    let hasDroppedBytes = false;
    // TCP keeps the order of bytes: those received after the delay ended wait for delayed ones.
    const queue: { forward: () => void; dueMs: number }[] = [];
    const forwardDue = (): void => {
      while ((queue[0]?.dueMs ?? Infinity) <= timers.getMonotonicMs()) queue.shift()?.forward();
      const [next] = queue;
      if (next !== undefined) timers.scheduleOnce(next.dueMs - timers.getMonotonicMs(), forwardDue);
    };
    const enqueue = (forward: () => void): void => {
      const isIdle = queue.length === 0;
      const delayMs = mode === ProxyMode.Delay ? DELAY_MS : 0;
      queue.push({ forward, dueMs: timers.getMonotonicMs() + delayMs });
      if (isIdle) forwardDue();
    };
    from.on('data', (bytes) => {
      hasDroppedBytes ||= mode === ProxyMode.Silent || (mode === ProxyMode.OneWay && isFromServer);
      if (hasDroppedBytes) return;
      enqueue(() => to.write(bytes));
    });
    from.once('close', () => {
      if (!hasDroppedBytes && mode !== ProxyMode.Silent) enqueue(() => to.destroy());
    });
  };

  const listener = createServer((caller) => {
    addSocket(caller);
    if (mode === ProxyMode.Reset) {
      caller.resetAndDestroy();
      return;
    }
    const target = connect(server.port, server.host);
    addSocket(target);
    forwardBytes(caller, target, false);
    forwardBytes(target, caller, true);
  });
  await new Promise<void>((resolve) => {
    listener.listen(0, host, resolve);
  });
  const { port } = listener.address() as AddressInfo;

  return {
    address: `${host}:${port}`,
    setMode(next) {
      mode = next;
      if (mode === ProxyMode.Reset) sockets.forEach((socket) => socket.resetAndDestroy());
    },
    async close() {
      sockets.forEach((socket) => socket.destroy());
      await new Promise<void>((resolve) => {
        listener.close(() => resolve());
      });
    },
  };
}
