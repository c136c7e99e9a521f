/** Time over which the requests to a target are counted, for logs. */
export const SEND_WINDOW_MS = 4_000;
