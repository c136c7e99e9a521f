export { createPlatformClient } from './client.ts';
export type { PlatformClientOptions } from './client.ts';
export * from './schemas.ts';
export * from './types.ts';
