export { computeBackoffMs } from './backoff.ts';
export * from './consts.ts';
export { createPlatformRelay } from './create-platform-relay.ts';
export type { PlatformRelay, PlatformRelayOptions } from './create-platform-relay.ts';
export { selectRelays } from './select-relays.ts';
