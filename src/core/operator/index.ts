export { runOperator } from './run-operator.ts';
export { operatorSettingsSchema } from './settings.ts';
export type { OperatorSettings } from './settings.ts';
export type { ConfigurationReader, OperatorIo, ReadConfiguration } from './types.ts';
