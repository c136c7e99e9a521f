export { createEntryDaemon } from './create-entry-daemon.ts';
export { entrySettingsSchema } from './settings.ts';
export type { EntrySettings } from './settings.ts';
