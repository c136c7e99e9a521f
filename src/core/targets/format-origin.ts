import type { TargetEndpoint } from './types.ts';

/** Returns the HTTP origin of a target. */
export function formatOrigin({ address, port }: TargetEndpoint): string {
  return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
