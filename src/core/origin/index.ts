/** IP address and TCP port of a process. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Formats the HTTP origin of an endpoint; an IPv6 address is put in brackets. */
export function formatOrigin({ address, port }: Endpoint): string {
  return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
