/** Interval at which each daemon pings one member. */
export const PING_PERIOD_MS = 1_000;

/** Time without an ack after which other members are asked to ping the member indirectly. */
export const ACK_DEADLINE_MS = 400;

/** Number of members that are asked to ping a member that did not answer. */
export const PING_REQUEST_MEMBERS = 3;

/** Time that a suspect member has to refute the suspicion before it is declared dead. */
export const SUSPICION_MS = 4_000;

/** Time that dead members are kept and pinged, so that the sides of a healed partition rejoin. */
export const DEAD_RETENTION_MS = 2 * 60 * 60 * 1_000;

/**
 * Interval at which each daemon contacts one dead member, or one seed that is not a live member.
 */
export const RETRY_PERIOD_MS = 10_000;

/** Interval of join packets while no other live member is known. */
export const JOIN_PERIOD_MS = 1_000;

/**
 * Delay of the first fetch of all records from one random member, and interval of later fetches.
 * The first fetch fills gaps between daemons that start simultaneously, when there are more new
 * records than piggybacked updates can carry.
 */
export const FIRST_SYNC_MS = 3_000;
export const SYNC_PERIOD_MS = 120_000;

/** Maximum datagram size; fits into one Ethernet frame with space for tunnel headers. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Bytes reserved for the packet fields other than updates; names have at most 63 bytes. */
export const PACKET_HEADER_BYTES = 260;

/** Interval between ticks of the protocol; each tick checks all deadlines. */
export const TICK_MS = 200;

/**
 * When more than this time has passed since the last tick, the process was paused. Expired
 * deadlines are then no evidence against other members, so all deadlines restart.
 */
export const PAUSE_THRESHOLD_MS = 2_000;

/** An update is sent this factor times the base-2 logarithm of the number of members. */
export const GOSSIP_FACTOR = 3;

/** Number of random members that an urgent update is sent to immediately. */
export const URGENT_UPDATE_MEMBERS = 3;
