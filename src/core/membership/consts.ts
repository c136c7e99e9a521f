/** Period in which each daemon pings one member. */
export const PING_PERIOD_MS = 1_000;

/** Without an answer for this time, other members are asked to ping. */
export const ACK_DEADLINE_MS = 400;

/** Members that are asked to ping a member that did not answer. */
export const PING_REQUEST_MEMBERS = 3;

/** Time that a suspect member has to refute. */
export const SUSPICION_MS = 4_000;

/** Dead members are kept and pinged for this time, so that partitions merge again. */
export const DEAD_RETENTION_MS = 2 * 60 * 60 * 1_000;

/** Period in which each daemon pings one dead member or one seed that is not a live member. */
export const RETRY_PERIOD_MS = 10_000;

/** Period of join packets while no other member is known. */
export const JOIN_PERIOD_MS = 1_000;

/**
 * First and later fetches of all records from one member. The first closes the gaps between daemons
 * that start at the same time, when more records are new than the datagrams can carry.
 */
export const FIRST_SYNC_MS = 3_000;
export const SYNC_PERIOD_MS = 120_000;

/** Largest datagram; it fits one Ethernet frame with room for tunnels. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Room for the fields of a packet other than its updates; names have at most 63 bytes. */
export const PACKET_HEADER_BYTES = 260;

/** Period of the internal clock of the protocol; deadlines are checked at each tick. */
export const TICK_MS = 200;

/**
 * A tick that is late by more than this means that the process was paused. Its deadlines then say
 * nothing about the other members and start again.
 */
export const PAUSE_THRESHOLD_MS = 2_000;

/** An update is sent this many times the logarithm of the number of members. */
export const GOSSIP_FACTOR = 3;

/** Random members that receive an urgent update at once. */
export const URGENT_UPDATE_MEMBERS = 3;
