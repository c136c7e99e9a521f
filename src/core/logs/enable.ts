/*
 * Roarr decides when it is loaded whether it writes. A daemon imports this module before all
 * others, because a daemon without logs cannot be operated.
 */
process.env.ROARR_LOG ??= 'true';
