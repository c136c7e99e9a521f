export { createCallerServer } from './caller-server.ts';
export type { AddressQuery, CallerServer, CallerServerOptions } from './types.ts';
