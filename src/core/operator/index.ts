export { runOperator } from './run-operator.ts';
export { operatorSettingsSchema } from './settings.ts';
export type { OperatorSettings } from './settings.ts';
export type { OperatorIo } from './types.ts';
