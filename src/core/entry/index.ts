export { createEntryDaemon } from './create-entry-daemon.ts';
export { toEventMessage, toTimelineEvent } from './event-messages.ts';
export { entrySettingsSchema } from './settings.ts';
export type { EntrySettings } from './settings.ts';
