/*
 * Enables Roarr's log output, which is off by default. Roarr reads ROARR_LOG only while it is being
 * loaded, so a daemon has to import this module before all others.
 */
process.env.ROARR_LOG ??= 'true';
