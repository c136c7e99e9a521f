export { createStandInPlatform } from './server.ts';
export type { PlatformStandIn, PlatformStandInOptions } from './server.ts';
export { platformStandInSettingsSchema, readPlatformStandInSettings } from './settings.ts';
export type { PlatformStandInSettings } from './settings.ts';
export type { ObjectStore, PlatformCounters, PlatformFaults } from './types.ts';
export type { VmList } from './vm-list.ts';
