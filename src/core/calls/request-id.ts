/** Owner and expiry that are encoded in a request id. */
export interface IssuedRequestId {
  owner: string;
  /** Incarnation of the owner; a restarted daemon does not own the ids issued before. */
  incarnation: string;
  /** Time on the owner's monotonic clock at which the id expires. */
  expiryMs: number;
}

const SEPARATOR = '.';
const ID_PATTERN =
  /^(?<owner>[a-z0-9-]{1,63})\.(?<incarnation>[0-9a-f]{1,16})\.(?<expiryMs>\d{1,15})\.\d{1,15}\.[\w-]{1,64}$/;

/** Formats a request id prefix; the sequence number makes each prefix unique. */
export function formatRequestIdPrefix(issued: IssuedRequestId, sequence: number): string {
  const { owner, incarnation, expiryMs } = issued;
  return [owner, incarnation, expiryMs, sequence, ''].join(SEPARATOR);
}

/** Parses a request id; returns undefined when it does not have the format of an issued id. */
export function parseRequestId(id: string): IssuedRequestId | undefined {
  const { owner, incarnation, expiryMs } = ID_PATTERN.exec(id)?.groups ?? {};
  if (owner === undefined || incarnation === undefined) return undefined;
  return { owner, incarnation, expiryMs: Number(expiryMs) };
}
