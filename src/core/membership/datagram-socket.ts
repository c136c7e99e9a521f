import { createSocket } from 'node:dgram';
import { isIPv6 } from 'node:net';
import type { Unsubscribe } from '../timers/index.ts';

/** Called for each received datagram. */
export type DatagramListener = (bytes: Uint8Array, address: string, port: number) => void;

/** Sends and receives datagrams; tests use a fake network. */
export interface DatagramSocket {
  address: string;
  port: number;
  /** Sends without waiting; datagrams can be lost. */
  send(bytes: Uint8Array, address: string, port: number): void;
  subscribe(listener: DatagramListener): Unsubscribe;
  /** Closes the socket once the datagrams sent before have left. */
  close(): Promise<void>;
}

/** Opens a UDP socket; port 0 takes a free port. */
export async function openDatagramSocket(address: string, port: number): Promise<DatagramSocket> {
  const socket = createSocket(isIPv6(address) ? 'udp6' : 'udp4');
  const listeners = new Set<DatagramListener>();
  let pendingSends = 0;
  let closing: Promise<void> | undefined;
  let closeWhenSent = (): void => undefined;

  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, address, () => {
      socket.off('error', reject);
      resolve();
    });
  });
  // Errors after the bind concern single datagrams, which may be lost anyway.
  socket.on('error', () => undefined);
  socket.on('message', (bytes, source) => {
    listeners.forEach((listener) => listener(bytes, source.address, source.port));
  });

  // The socket hands datagrams to the system in a later turn, also for an IP address.
  const handleSent = (): void => {
    pendingSends -= 1;
    if (pendingSends === 0) closeWhenSent();
  };

  const closeSocket = (): Promise<void> =>
    new Promise((resolve) => {
      closeWhenSent = () => {
        socket.close(() => resolve());
      };
      if (pendingSends === 0) closeWhenSent();
    });

  return {
    address,
    port: socket.address().port,
    send(bytes, toAddress, toPort) {
      if (closing !== undefined) return;
      pendingSends += 1;
      socket.send(bytes, toPort, toAddress, handleSent);
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    close() {
      closing ??= closeSocket();
      return closing;
    },
  };
}
