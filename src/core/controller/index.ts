export { createController } from './create-controller.ts';
export { createDaemonLink } from './daemon-link.ts';
export { createEngineLink } from './engine-link.ts';
export type { EngineLinkOptions, HttpEngineLink } from './engine-link.ts';
export { controllerSettingsSchema } from './settings.ts';
export type { ControllerSettings } from './settings.ts';
export * from './types.ts';
