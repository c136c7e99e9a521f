const STATUS_MIN = 100;
const STATUS_MAX = 599;

/** Whether the status is one of HTTP (RFC 9110, section 15); bytes with another one are no response. */
export function isHttpStatus(status: number): boolean {
  return status >= STATUS_MIN && status <= STATUS_MAX;
}
