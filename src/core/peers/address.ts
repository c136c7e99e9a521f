import { isIPv4 } from 'node:net';

/** IP address and port of a gateway or a target. */
export interface SocketAddress {
  host: string;
  port: number;
}

const MAX_PORT = 65_535;

/** Parses `host:port` with an IPv4 address; undefined if it is not one that a socket can send to. */
export function parseAddress(text: string): SocketAddress | undefined {
  const [host = '', portText = '', ...rest] = text.split(':');
  const port = Number(portText);
  const isValid = isIPv4(host) && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isValid && rest.length === 0 ? { host, port } : undefined;
}
