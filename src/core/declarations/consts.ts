/** Kind and name of the platform object that holds the configuration. */
export const CONFIG_KIND = 'config';
export const CONFIG_NAME = 'current';

/** Maximum number of change records that are kept inside the configuration. */
export const MAX_CHANGE_RECORDS = 200;

/** Maximum bytes of a declaration as JSON; the platform stores values of up to 1 MB. */
export const MAX_DECLARATION_BYTES = 900_000;

/** Maximum bytes of change records; together with the largest declaration they stay under 1 MB. */
export const MAX_CHANGE_RECORD_BYTES = 80_000;

/** Maximum number of rows that a change record lists; larger changes list whole sections. */
export const MAX_RECORDED_ROWS = 20;

/** Maximum number of characters in the note of a change. */
export const MAX_NOTE_LENGTH = 200;
