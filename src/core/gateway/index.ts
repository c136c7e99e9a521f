export { startGateway } from './create-gateway.ts';
export type { GatewayDependencies, GatewayPages, GatewayParameters } from './create-gateway.ts';
