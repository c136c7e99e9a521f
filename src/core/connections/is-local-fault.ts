/**
 * Codes with which the operating system refuses a connection for lack of resources of this process or
 * machine: descriptors, local ports or memory.
 */
const LOCAL_FAULT_CODES: ReadonlySet<unknown> = new Set([
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
  'EADDRNOTAVAIL',
  'EADDRINUSE',
]);

/** Returns whether a connection failed for lack of own resources, so that the peer is not at fault. */
export function isLocalFault(error: unknown): boolean {
  return error instanceof Error && LOCAL_FAULT_CODES.has((error as { code?: unknown }).code);
}
