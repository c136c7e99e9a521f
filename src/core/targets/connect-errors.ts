/** Error codes that Node.js and undici raise only before a connection is established. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells whether an error means that the connection was never established, so nothing was sent. */
export function isConnectError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const { code } = error as NodeJS.ErrnoException;
  return code !== undefined && CONNECT_ERROR_CODES.has(code);
}
