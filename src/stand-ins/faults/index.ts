export { createControlServer } from './control-server.ts';
export type { ControlServer, FaultTarget } from './control-server.ts';
export { createFaultServer } from './fault-server.ts';
export type { FaultServer, FaultServerOptions } from './fault-server.ts';
export { faultRequestSchema } from './types.ts';
export type { FaultListeners, FaultRequest, FaultState } from './types.ts';
