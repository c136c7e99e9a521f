export { CONFIGURATION_NAME, decodeConfiguration } from './decode-configuration.ts';
export { decodeTarget } from './decode-target.ts';
export { createDutyClient } from './duty-client.ts';
export { createEngineControl } from './engine-control.ts';
export { startAuxiliaryServers } from './auxiliary-servers.ts';
export { buildGatewaySettingsSchema, parseSocket, SETTINGS_VARIABLE } from './settings.ts';
export type { GatewaySettings, ReplacedValue } from './settings.ts';
export { createStoreClient } from './store-client.ts';
export { platformWireFormat } from './wire-format.ts';
