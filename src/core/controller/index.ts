export { createController } from './create-controller.ts';
export { createDaemonClient } from './daemon-client.ts';
export { createEngineControlClient } from './engine-control-client.ts';
export type {
  EngineControlClientOptions,
  HttpEngineControlClient,
} from './engine-control-client.ts';
export { controllerSettingsSchema } from './settings.ts';
export type { ControllerSettings } from './settings.ts';
export * from './types.ts';
