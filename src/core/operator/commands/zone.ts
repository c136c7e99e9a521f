import { command, oneOf, positional, string } from 'cmd-ts';
import { applyZoneState, fetchConfiguration } from '../../declarations/index.ts';
import type { Configuration } from '../../declarations/index.ts';
import { AvailabilityZoneState } from '../../domain-types/index.ts';
import { CHANGE_ARGUMENTS, COMMON_ARGUMENTS } from '../arguments.ts';
import { printChangeResult } from '../change-result.ts';
import { getOperatorName, runWithContext } from '../context.ts';
import type { OperatorIo } from '../types.ts';
import { checkNote } from './apply.ts';

/** Returns the region of the given zone if no availability zone of that region is in service. */
function findRegionOutOfService(
  { availabilityZones }: Configuration,
  name: string,
): string | undefined {
  const region = availabilityZones.find((zone) => zone.name === name)?.region;
  const isInService = availabilityZones.some(
    (zone) => zone.region === region && zone.state === AvailabilityZoneState.In,
  );
  return isInService ? undefined : region;
}

/** Creates the command that takes an availability zone out of service or puts it back. */
export function createZoneCommand(io: OperatorIo) {
  return command({
    name: 'zone',
    description:
      'Take an availability zone out of service or put it back. Concurrent changes to other rows are kept.',
    args: {
      state: positional({
        type: oneOf(Object.values(AvailabilityZoneState)),
        displayName: 'out|in',
        description: 'new state',
      }),
      name: positional({ type: string, displayName: 'NAME', description: 'availability zone' }),
      ...CHANGE_ARGUMENTS,
      ...COMMON_ARGUMENTS,
    },
    examples: [
      {
        description: 'Take a zone out of service',
        command: 'clementinefork zone out sofia-b --note "power maintenance"',
      },
      { description: 'Put a zone back into service', command: 'clementinefork zone in sofia-b' },
    ],
    handler: ({ settings, isJson, state, name, note, operator, writeId: earlierWriteId }) =>
      runWithContext(io, settings, async (context) => {
        checkNote(note);
        const writeId = earlierWriteId ?? io.createWriteId();
        const change = { availabilityZone: name, state, note, writeId };
        const attributedChange = { ...change, operator: getOperatorName(context, operator) };
        const { platform } = context;
        const result = await applyZoneState(
          platform,
          io.timers,
          attributedChange,
          io.createWriteId,
        );
        printChangeResult(io, isJson, writeId, result);
        // The change has been applied, so an error while reading the configuration again must not
        // make the command fail.
        const currentConfiguration = await fetchConfiguration(platform).catch(() => undefined);
        const region =
          currentConfiguration && findRegionOutOfService(currentConfiguration.configuration, name);
        if (region === undefined) return;
        io.writeError(`Warning: no availability zone of region ${region} is in service.\n`);
      }),
  });
}
