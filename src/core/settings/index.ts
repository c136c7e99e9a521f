export { checkValue, formatPath, parseYaml, readSettings, readTextFile } from './read-settings.ts';
export {
  addressSchema,
  durationMsSchema,
  metricsSchema,
  nameSchema,
  portSchema,
} from './schemas.ts';
