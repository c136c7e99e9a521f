/** Error codes that occur only while a connection is being established. */
const CONNECT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells whether an error says that the connection was never established. */
export function isNotConnected(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const { code } = error as NodeJS.ErrnoException;
  return code !== undefined && CONNECT_CODES.has(code);
}
