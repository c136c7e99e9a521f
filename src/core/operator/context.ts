import { createError, ErrorKind } from '../errors/index.ts';
import type { PlatformClient } from '../object-api/index.ts';
import { createPlatformClient } from '../object-api/index.ts';
import type { PeerLinks } from '../rpc/index.ts';
import { createPeerLinks } from '../rpc/index.ts';
import { readSettings } from '../settings/index.ts';
import type { OperatorSettings } from './settings.ts';
import { operatorSettingsSchema } from './settings.ts';
import type { OperatorIo } from './types.ts';

/** Settings and connections of one run of the command. */
export interface OperatorContext {
  io: OperatorIo;
  settings: OperatorSettings;
  platform: PlatformClient;
  links: PeerLinks;
}

/** Reads the settings, opens the connections, runs the action, and closes the connections. */
export async function runWithContext<Result>(
  io: OperatorIo,
  settingsFile: string,
  run: (context: OperatorContext) => Promise<Result>,
): Promise<Result> {
  const settings = readSettings(settingsFile, operatorSettingsSchema);
  const platform = createPlatformClient({ ...settings.platform, timers: io.timers });
  const links = createPeerLinks({ callDeadlineMs: settings.callTimeoutMs });
  try {
    return await run({ io, settings, platform, links });
  } finally {
    links.close();
    await platform.close();
  }
}

/**
 * Returns the operator's name for change records: the option, the setting or the environment
 * variable USER. Throws a usage error if none of them is set.
 */
export function getOperatorName(context: OperatorContext, option: string | undefined): string {
  const name = option ?? context.settings.operator ?? context.io.env.USER;
  if (name !== undefined && name !== '') return name;
  const problem = 'The name of the operator is missing; pass --operator NAME.';
  throw createError(ErrorKind.UsageInvalid, { problem });
}
