/** Owner and lifetime that a request id names. */
export interface IssuedRequestId {
  owner: string;
  /** Incarnation of the owner; a restarted daemon is another owner. */
  incarnation: string;
  /** Monotonic time of the owner after which the id is expired. */
  expiryMs: number;
}

const SEPARATOR = '.';
const ID_PATTERN =
  /^(?<owner>[a-z0-9-]{1,63})\.(?<incarnation>[0-9a-f]{1,16})\.(?<expiryMs>\d{1,15})\.\d{1,15}\.[\w-]{1,64}$/;

/** Formats a prefix; the sequence number keeps the ids of two callers apart. */
export function formatRequestIdPrefix(issued: IssuedRequestId, sequence: number): string {
  const { owner, incarnation, expiryMs } = issued;
  return [owner, incarnation, expiryMs, sequence, ''].join(SEPARATOR);
}

/** Parses a request id; undefined when it has no issued prefix. */
export function parseRequestId(id: string): IssuedRequestId | undefined {
  const { owner, incarnation, expiryMs } = ID_PATTERN.exec(id)?.groups ?? {};
  if (owner === undefined || incarnation === undefined) return undefined;
  return { owner, incarnation, expiryMs: Number(expiryMs) };
}
