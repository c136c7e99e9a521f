import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';
/**
 * Range below the ports that Linux gives to outgoing connections and to listeners without a port of
 * their own (32768 and up), so that nothing takes a port between the search and its use.
 */
const MIN_PORT = 10_000;
const MAX_PORT = 32_000;
/** Ports that the processes of one machine search from are this far apart. */
const PORTS_PER_PROCESS = 64;

let nextPort = MIN_PORT + ((process.pid * PORTS_PER_PROCESS) % (MAX_PORT - MIN_PORT));

/** Whether a listener can be opened on a port; it is closed again at once. */
function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

/** Finds distinct free TCP ports on loopback; searches of one process never return a port twice. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = nextPort >= MAX_PORT ? MIN_PORT : nextPort + 1;
    if (await canListen(port)) ports.push(port);
  }
  return ports;
}
