import { dirname, resolve } from 'node:path';
import { z } from 'zod';
import { ErrorKind } from '../../core/errors/index.ts';
import { vmListSchema, vmSchema } from '../../core/platform/index.ts';
import {
  addressSchema,
  checkValue,
  parseYaml,
  portSchema,
  readSettings,
  readTextFile,
} from '../../core/settings/index.ts';
import type { Vm } from '../../core/world/index.ts';

/** Settings of the platform stand-in. */
export const platformStandInSettingsSchema = z.strictObject({
  listen: z.strictObject({ address: addressSchema, port: portSchema }),
  /** VMs given here. */
  vms: z.array(vmSchema).default([]),
  /** YAML file with more VMs under `vms`; the path is relative to the settings file. */
  vmsFile: z.string().optional(),
});

/** Where the stand-in listens and which VMs it lists. */
export interface PlatformStandInSettings {
  address: string;
  port: number;
  vms: Vm[];
}

function readVmsFile(file: string): Vm[] {
  const value = parseYaml(file, readTextFile(file), ErrorKind.SettingsInvalid);
  return checkValue(file, value, vmListSchema, ErrorKind.SettingsInvalid).vms;
}

/** Reads the settings file and the VM list file that it names. */
export function readPlatformStandInSettings(file: string): PlatformStandInSettings {
  const { listen, vms, vmsFile } = readSettings(file, platformStandInSettingsSchema);
  const more = vmsFile === undefined ? [] : readVmsFile(resolve(dirname(file), vmsFile));
  return { ...listen, vms: [...vms, ...more] };
}
