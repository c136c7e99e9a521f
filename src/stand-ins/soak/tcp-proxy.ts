import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { TimerService } from '../../core/timers/index.ts';

/** What a proxy does with bytes. */
export enum ProxyMode {
  Pass = 'pass',
  /** Passes bytes on after a delay. */
  Delay = 'delay',
  /** Resets all connections, and new ones. */
  Reset = 'reset',
  /** Takes bytes in both directions and passes none on; a connection that has lost bytes stays so. */
  Silent = 'silent',
  /** Passes bytes to the server on, and none back. */
  OneWay = 'one-way',
}

/** A proxy on loopback for one server, which injects faults of the network. */
export interface TcpProxy {
  address: string;
  setMode(mode: ProxyMode): void;
  close(): Promise<void>;
}

/** Delay of the mode of that name; the store of the sheets is up to 60 times slower than 4 ms. */
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
    // A socket that fails is closed; its peer is closed by the handler of `close`.
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  };

  const passBytes = (from: Socket, to: Socket, isAnswer: boolean): void => {
    // TCP loses nothing in the middle: a direction that has lost bytes stays silent for good.
    let hasLost = false;
    // Bytes that are not delayed any more wait behind those that still are.
    const waiting: { pass: () => void; dueMs: number }[] = [];
    const passDue = (): void => {
      while ((waiting[0]?.dueMs ?? Infinity) <= timers.getMonotonicMs()) waiting.shift()?.pass();
      const [next] = waiting;
      if (next !== undefined) timers.scheduleOnce(next.dueMs - timers.getMonotonicMs(), passDue);
    };
    const passInOrder = (pass: () => void): void => {
      const isIdle = waiting.length === 0;
      const delayMs = mode === ProxyMode.Delay ? DELAY_MS : 0;
      waiting.push({ pass, dueMs: timers.getMonotonicMs() + delayMs });
      if (isIdle) passDue();
    };
    from.on('data', (bytes) => {
      hasLost ||= mode === ProxyMode.Silent || (mode === ProxyMode.OneWay && isAnswer);
      if (hasLost) return;
      passInOrder(() => to.write(bytes));
    });
    from.once('close', () => {
      if (!hasLost && mode !== ProxyMode.Silent) passInOrder(() => to.destroy());
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
    passBytes(caller, target, false);
    passBytes(target, caller, true);
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
