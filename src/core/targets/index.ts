export * from './consts.ts';
export { createEngineClient } from './engine-client.ts';
export { createServiceClient } from './service-client.ts';
export { parseLoad } from './engine-messages.ts';
export * from './types.ts';
