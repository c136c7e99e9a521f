/** Kind and name of the platform object that holds the configuration. */
export const CONFIG_KIND = 'config';
export const CONFIG_NAME = 'current';

/** Change records kept inside the configuration. */
export const MAX_CHANGE_RECORDS = 200;

/** Largest configuration that is accepted; the platform holds values up to 1 MB. */
export const MAX_CONFIGURATION_BYTES = 900_000;
