import { z } from 'zod';
import { addressSchema, durationMsSchema, portSchema } from '../settings/index.ts';

const DEFAULT_REQUEST_TIMEOUT_MS = 2_000;
const DEFAULT_SETTLE_TIMEOUT_MS = 10_000;
const DEFAULT_CALL_TIMEOUT_MS = 3_000;

/** Settings of the operator command. */
export const operatorSettingsSchema = z.strictObject({
  /** Address of the platform, which serves the object API and the VM list. */
  platform: z.strictObject({
    address: addressSchema,
    port: portSchema,
    /** Timeout of one request. */
    requestTimeoutMs: durationMsSchema.default(DEFAULT_REQUEST_TIMEOUT_MS),
    /** Time after which the outcome of a write without a response is reported as undecided. */
    settleTimeoutMs: durationMsSchema.default(DEFAULT_SETTLE_TIMEOUT_MS),
  }),
  /** Peer addresses of some entry daemons; the others are discovered through them. */
  daemons: z.array(z.strictObject({ address: addressSchema, port: portSchema })).default([]),
  /** Timeout of one call to a daemon. */
  callTimeoutMs: durationMsSchema.default(DEFAULT_CALL_TIMEOUT_MS),
  /** Operator's name in change records; default: the environment variable USER. */
  operator: z.string().min(1).optional(),
});

/** Validated settings of the operator command, with defaults filled in. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;

/** YAML text that `--print-settings` prints: all settings with their defaults. */
export const SETTINGS_EXAMPLE = `# Settings of clementinefork; settings marked as default can be omitted.
platform:
  address: 10.20.0.5 # IP address of the object API
  port: 7400
  requestTimeoutMs: ${DEFAULT_REQUEST_TIMEOUT_MS} # default
  settleTimeoutMs: ${DEFAULT_SETTLE_TIMEOUT_MS} # default; time to determine the outcome of a write whose response was lost
daemons: # peer addresses of some entry daemons; the others are discovered through them
  - address: 10.20.1.2
    port: 7301
callTimeoutMs: ${DEFAULT_CALL_TIMEOUT_MS} # default; timeout of one call to a daemon
operator: ana # default: the environment variable USER
`;
