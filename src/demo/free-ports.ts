import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

const LOOPBACK = '127.0.0.1';

function openServer(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}

/** Finds distinct free TCP ports on loopback. All ports stay bound until the last one is found. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}
