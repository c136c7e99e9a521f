import { createSocket } from 'node:dgram';
import { isIPv6 } from 'node:net';
import type { Unsubscribe } from '../timers/index.ts';

/** Called for each received datagram with the address and port of its sender. */
export type DatagramListener = (bytes: Uint8Array, address: string, port: number) => void;

/** Sends and receives datagrams; tests implement it over a fake network. */
export interface DatagramSocket {
  address: string;
  port: number;
  /** Sends a datagram without waiting for it to leave; it can be lost. */
  send(bytes: Uint8Array, address: string, port: number): void;
  subscribe(listener: DatagramListener): Unsubscribe;
  /** Closes the socket after all pending datagrams were handed to the operating system. */
  close(): Promise<void>;
}

/** Opens a UDP socket; port 0 selects a free port. Rejects when the socket cannot be bound. */
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
  // After the bind, an error affects a single datagram, and datagrams may be lost anyway.
  socket.on('error', () => undefined);
  socket.on('message', (bytes, source) => {
    listeners.forEach((listener) => listener(bytes, source.address, source.port));
  });

  // Node.js passes a datagram to the operating system in a later turn of the event loop, even when
  // the destination is an IP address, so closing must wait for pending sends.
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
