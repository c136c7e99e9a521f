/** Kind and name of the platform object that holds the configuration. */
export const CONFIG_KIND = 'config';
export const CONFIG_NAME = 'current';

/** Change records kept inside the configuration. */
export const MAX_CHANGE_RECORDS = 200;

/** Largest configuration that is accepted; the platform holds values up to 1 MB. */
export const MAX_CONFIGURATION_BYTES = 900_000;

/** Bytes of change records that are kept; with the largest declaration they stay under 1 MB. */
export const MAX_CHANGE_RECORD_BYTES = 80_000;

/** Rows that a change record names; a larger change names whole sections. */
export const MAX_RECORDED_ROWS = 20;

/** Characters of the note of a change. */
export const MAX_NOTE_LENGTH = 200;
