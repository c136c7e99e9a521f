export { startGateway } from './create-gateway.ts';
