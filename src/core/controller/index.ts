export { createController } from './create-controller.ts';
export { controllerSettingsSchema } from './settings.ts';
export type { ControllerSettings } from './settings.ts';
export * from './types.ts';
