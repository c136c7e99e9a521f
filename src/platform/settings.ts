import { z } from 'zod';
import type { DutySettings } from '../core/duties/index.ts';
import { BYTES_PER_MB } from '../core/memory/index.ts';

/** Environment variable with the path of the platform's settings file. */
export const SETTINGS_VARIABLE = 'CLEMENTINEFORK_CONFIG';

/** Memory limit that holds if the file states none. */
const DEFAULT_MEMORY_MB = 350;

const socketSchema = z.string().regex(/^[^:]+:\d+$/);

/** File descriptors of the process if the settings state no usable limit. */
const DEFAULT_MAX_DESCRIPTORS = 4_096;

const figureSchema = (fallback: number): z.ZodCatch<z.ZodNumber> => z.number().catch(fallback);

/** The platform's usual limits; they hold for what a settings file does not state as a number. */
const limitsSchema = z.object({
  cpu_share: figureSchema(1),
  cores: figureSchema(1),
  memory_mb: z.number().positive().catch(DEFAULT_MEMORY_MB),
  max_fds: z.int().positive().catch(DEFAULT_MAX_DESCRIPTORS),
});
const boundsSchema = z.object({
  drain_ms: figureSchema(2_000),
  config_apply_ms: figureSchema(2_000),
  evacuation_ms: figureSchema(5_000),
  grace_s: figureSchema(8),
  retry_budget_ratio: figureSchema(0.2),
  budget_window_s: figureSchema(10),
  retry_budget_slack: figureSchema(0),
  stall_ms: figureSchema(5_000),
  ttl_max_s: figureSchema(5),
  lease_ms: figureSchema(3_000),
  usage_window_s: figureSchema(0),
  usage_late_s: figureSchema(0),
});

/** Losses that the operators expect the service to bear. */
const toleranceSchema = z.object({ zones: z.number().nonnegative().catch(1) });

const USAGE_DUTY = 'usage_report';
const SCALING_DUTY = 'autoscale';

/** Windows after which a report is due if the settings do not say it. */
const DEFAULT_LATE_WINDOWS = 2;

/** Calls of one gateway at a time; without a usable address there are none. */
const cloudSchema = z.object({
  address: socketSchema,
  duties: z.array(z.string()).catch([]),
  duty_per_s: z.number().positive().catch(1),
});

/**
 * Fields of the platform's settings file that the gateway reads; others are ignored. Only names and
 * addresses are required, as a gateway without them could serve nobody.
 */
const settingsFileSchema = z.object({
  node: z.string(),
  ip: z.string(),
  zone: z.string(),
  listen: z.object({ front: socketSchema, ready: socketSchema, directory: socketSchema }),
  internal_port_range: z.tuple([z.number()]).rest(z.unknown()),
  bootstrap: z.boolean().catch(false),
  limits: limitsSchema.catch(limitsSchema.parse({})),
  bounds: boundsSchema.catch(boundsSchema.parse({})),
  platform: z.object({ address: socketSchema }),
  tolerate: toleranceSchema.catch(toleranceSchema.parse({})),
  cloud: cloudSchema.optional().catch(undefined),
});

/** Host and port of an address to listen on or to connect to. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Settings of the gateway, converted from the platform's names and units. */
export interface GatewaySettings {
  vmName: string;
  ip: string;
  availabilityZone: string;
  /** CPU capacity of the VM in millicores; the VMs with the most become hubs. */
  capacity: number;
  /** Memory above which the platform kills the process. */
  memoryLimitBytes: number;
  /** Limit on the file descriptors of the process. */
  maxDescriptors: number;
  /** Address that callers connect to. */
  callers: SocketAddress;
  /** Address that the platform's readiness checks connect to. */
  readiness: SocketAddress;
  /** Address of the directory, which returns the addresses for callers. */
  directory: SocketAddress;
  /** UDP port of the packets between gateways. */
  peerPort: number;
  /** TCP port of the metrics server. */
  metricsPort: number;
  store: SocketAddress;
  /** Availability zones that may be lost at once without a loss of service. */
  toleratedZones: number;
  /** Address of the calls of duties; undefined if the platform has none. */
  dutyCalls: SocketAddress | undefined;
  /** Duties of this deployment; undefined without any. */
  duties: DutySettings | undefined;
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean;
  /** Time between SIGTERM and SIGKILL. */
  graceMs: number;
  /** Time within which a target that is leaving gets no more requests. */
  leavingBoundMs: number;
  /** Time within which a configuration is in force everywhere. */
  configurationBoundMs: number;
  /** Time within which the targets of an evacuated zone get no more requests. */
  evacuationBoundMs: number;
  /** Retries allowed per request of a service, for all gateways together. */
  retryRatio: number;
  /** Retries allowed per window and service in addition to the ratio, for all gateways together. */
  retrySlack: number;
  /** Window over which requests and retries are counted for the ratio and the slack. */
  retryWindowMs: number;
  /** Time after which a group with a missing member counts as broken. */
  stallMs: number;
  /** Maximum lifetime of a directory response that callers respect. */
  maxDirectoryTtlMs: number;
}

const MS_PER_SECOND = 1_000;
const MILLICORES_PER_CORE = 1_000;

/** Metrics port; same as in deploy/system.toml and outside all port ranges that may be assigned. */
const METRICS_PORT = 9_464;

function parseSocket(text: string): SocketAddress {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}

function toDutySettings({
  cloud,
  bounds,
}: z.infer<typeof settingsFileSchema>): DutySettings | undefined {
  if (cloud === undefined || cloud.duties.length === 0) return undefined;
  return {
    // Windows without a length have no numbers.
    isUsageReported: cloud.duties.includes(USAGE_DUTY) && bounds.usage_window_s > 0,
    areTargetsOrdered: cloud.duties.includes(SCALING_DUTY),
    callsPerSecond: cloud.duty_per_s,
    leaseMs: bounds.lease_ms,
    usageWindowMs: bounds.usage_window_s * MS_PER_SECOND,
    usageLateMs:
      (bounds.usage_late_s || DEFAULT_LATE_WINDOWS * bounds.usage_window_s) * MS_PER_SECOND,
  };
}

/** Decodes the platform's settings file into the settings of the gateway. */
export const gatewaySettingsSchema = settingsFileSchema.transform((file): GatewaySettings => ({
  vmName: file.node,
  ip: file.ip,
  availabilityZone: file.zone,
  capacity: Math.round(file.limits.cpu_share * file.limits.cores * MILLICORES_PER_CORE),
  memoryLimitBytes: file.limits.memory_mb * BYTES_PER_MB,
  maxDescriptors: file.limits.max_fds,
  callers: parseSocket(file.listen.front),
  readiness: parseSocket(file.listen.ready),
  directory: parseSocket(file.listen.directory),
  peerPort: file.internal_port_range[0],
  metricsPort: METRICS_PORT,
  store: parseSocket(file.platform.address),
  toleratedZones: file.tolerate.zones,
  dutyCalls: file.cloud && parseSocket(file.cloud.address),
  duties: toDutySettings(file),
  isFirstStart: file.bootstrap,
  graceMs: file.bounds.grace_s * MS_PER_SECOND,
  leavingBoundMs: file.bounds.drain_ms,
  configurationBoundMs: file.bounds.config_apply_ms,
  evacuationBoundMs: file.bounds.evacuation_ms,
  retryRatio: file.bounds.retry_budget_ratio,
  retrySlack: file.bounds.retry_budget_slack,
  retryWindowMs: file.bounds.budget_window_s * MS_PER_SECOND,
  stallMs: file.bounds.stall_ms,
  maxDirectoryTtlMs: file.bounds.ttl_max_s * MS_PER_SECOND,
}));
