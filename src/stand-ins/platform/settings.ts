import { dirname, resolve } from 'node:path';
import { z } from 'zod';
import { ErrorKind } from '../../core/errors/index.ts';
import { vmListSchema, vmSchema } from '../../core/object-api/index.ts';
import {
  addressSchema,
  checkValue,
  parseYaml,
  portSchema,
  readSettings,
  readTextFile,
} from '../../core/settings/index.ts';
import type { Vm } from '../../core/domain-types/index.ts';

/** Schema of the settings file of `standin-platform`. */
export const standInPlatformSettingsSchema = z.strictObject({
  listen: z.strictObject({ address: addressSchema, port: portSchema }),
  /** VMs listed in the settings file itself. */
  vms: z.array(vmSchema).default([]),
  /** YAML file with additional VMs under `vms`; the path is relative to the settings file. */
  vmsFile: z.string().optional(),
});

/** Listen address and initial VM list of the platform stand-in. */
export interface StandInPlatformSettings {
  address: string;
  port: number;
  vms: Vm[];
}

function readVmsFile(file: string): Vm[] {
  const value = parseYaml(file, readTextFile(file), ErrorKind.SettingsInvalid);
  return checkValue(file, value, vmListSchema, ErrorKind.SettingsInvalid).vms;
}

/** Reads the settings file and its `vmsFile`, and concatenates their VM lists. */
export function readStandInPlatformSettings(file: string): StandInPlatformSettings {
  const { listen, vms, vmsFile } = readSettings(file, standInPlatformSettingsSchema);
  const additionalVms = vmsFile === undefined ? [] : readVmsFile(resolve(dirname(file), vmsFile));
  return { ...listen, vms: [...vms, ...additionalVms] };
}
