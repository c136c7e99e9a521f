/** Counts the bytes of header fields as sent, with `: ` and the line end of each. */
export function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((total, part) => total + part.length + 2, 0);
}
