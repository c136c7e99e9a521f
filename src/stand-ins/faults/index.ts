export { createControlServer } from './control-server.ts';
export type { ControlServer, FaultTarget } from './control-server.ts';
export { createFaultServer } from './fault-server.ts';
export type { FaultServer, FaultServerOptions } from './fault-server.ts';
export { faultOrderSchema } from './types.ts';
export type { FaultListeners, FaultOrder, FaultState } from './types.ts';
