import { z } from 'zod';
import { addressSchema, durationMsSchema, portSchema } from '../settings/index.ts';

const DEFAULT_REQUEST_TIMEOUT_MS = 2_000;
const DEFAULT_SETTLE_TIMEOUT_MS = 10_000;
const DEFAULT_CALL_TIMEOUT_MS = 3_000;

/** Settings of the operator command. */
export const operatorSettingsSchema = z.strictObject({
  /** Object API and VM list. */
  platform: z.strictObject({
    address: addressSchema,
    port: portSchema,
    /** Deadline of one call. */
    requestTimeoutMs: durationMsSchema.default(DEFAULT_REQUEST_TIMEOUT_MS),
    /** Time after which a write without an answer is reported as undecided. */
    settleTimeoutMs: durationMsSchema.default(DEFAULT_SETTLE_TIMEOUT_MS),
  }),
  /** Peer addresses of some entry daemons; the others are found through them. */
  daemons: z.array(z.strictObject({ address: addressSchema, port: portSchema })).default([]),
  /** Deadline of one call to a daemon. */
  callTimeoutMs: durationMsSchema.default(DEFAULT_CALL_TIMEOUT_MS),
  /** Name in change records; the environment variable USER when it is left out. */
  operator: z.string().min(1).optional(),
});

export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;

/** All settings with their defaults, as `--print-settings` shows them. */
export const SETTINGS_EXAMPLE = `# Settings of clementinefork; values that are marked as default may be left out.
platform:
  address: 10.20.0.5 # IP address of the object API
  port: 7400
  requestTimeoutMs: ${DEFAULT_REQUEST_TIMEOUT_MS} # default
  settleTimeoutMs: ${DEFAULT_SETTLE_TIMEOUT_MS} # default; time to settle a write whose answer was lost
daemons: # peer addresses of some entry daemons; the others are found through them
  - address: 10.20.1.2
    port: 7301
callTimeoutMs: ${DEFAULT_CALL_TIMEOUT_MS} # default; deadline of one call to a daemon
operator: ana # default: the environment variable USER
`;
