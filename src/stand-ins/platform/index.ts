export { createStandInPlatform } from './server.ts';
export type { StandInPlatform, StandInPlatformOptions } from './server.ts';
export { standInPlatformSettingsSchema, readStandInPlatformSettings } from './settings.ts';
export type { StandInPlatformSettings } from './settings.ts';
export type { ObjectStore, PlatformCounters, PlatformFaults } from './types.ts';
export type { VmList } from './vm-list.ts';
