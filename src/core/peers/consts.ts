/**
 * Gateways that are known at most, five times as many as the largest deployment has. Datagrams can
 * name any number.
 */
export const MAX_GATEWAYS = 1_000;

/** Length of a name or an address in a datagram; a host name has 253 characters at most. */
export const MAX_NAME_LENGTH = 255;

/** Largest payload of an IPv4 datagram; the system refuses to send a larger one. */
export const MAX_DATAGRAM_BYTES = 65_507;
