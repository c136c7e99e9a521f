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

/** A value of the settings file that is missing or unusable. */
export interface ReplacedValue {
  /** Path in the file, such as `bounds.grace_s`. */
  field: string;
  /** What the file states; undefined if the field is missing. */
  value: unknown;
  /** What holds instead. */
  usual: number | boolean;
}

/** Called with each value that is replaced while a file is decoded. */
export type ReplacementHandler = (replaced: ReplacedValue) => void;

/** A figure of the settings file. */
interface Figure {
  schema: z.ZodNumber;
  /** What holds without a usable figure. */
  usual: number;
  /** Whether settings may lack it without notice, as only some deployments have it. */
  isOptional?: boolean;
}

/** The platform's usual limits; they hold for what a settings file does not state as a usable figure. */
const FIGURES = {
  limits: {
    cpu_share: { schema: z.number().positive(), usual: 1 },
    cores: { schema: z.number().positive(), usual: 1 },
    memory_mb: { schema: z.number().positive(), usual: DEFAULT_MEMORY_MB },
    max_fds: { schema: z.number().int().positive(), usual: DEFAULT_MAX_DESCRIPTORS },
    // Without a figure, the gateway states no link.
    link_mbps: { schema: z.number().nonnegative(), usual: 0, isOptional: true },
  },
  bounds: {
    drain_ms: { schema: z.number().nonnegative(), usual: 2_000 },
    config_apply_ms: { schema: z.number().nonnegative(), usual: 2_000 },
    evacuation_ms: { schema: z.number().nonnegative(), usual: 5_000 },
    grace_s: { schema: z.number().nonnegative(), usual: 8 },
    retry_budget_ratio: { schema: z.number().nonnegative(), usual: 0.2 },
    budget_window_s: { schema: z.number().positive(), usual: 10 },
    retry_budget_slack: { schema: z.number().nonnegative(), usual: 0 },
    stall_ms: { schema: z.number().nonnegative(), usual: 5_000 },
    ttl_max_s: { schema: z.number().nonnegative(), usual: 5 },
    lease_ms: { schema: z.number().nonnegative(), usual: 3_000, isOptional: true },
    usage_window_s: { schema: z.number().nonnegative(), usual: 0, isOptional: true },
    usage_late_s: { schema: z.number().nonnegative(), usual: 0, isOptional: true },
  },
} satisfies Record<string, Record<string, Figure>>;

type FigureGroup = keyof typeof FIGURES;
type FigureSchemas<Group extends FigureGroup> = Record<
  keyof (typeof FIGURES)[Group],
  z.ZodCatch<z.ZodNumber>
>;

/** Builds the schema of a group of figures, none of which is required. */
function buildFiguresSchema<Group extends FigureGroup>(
  group: Group,
  handleReplaced: ReplacementHandler,
) {
  const shape = Object.fromEntries(
    Object.entries<Figure>(FIGURES[group]).map(([name, { schema, usual, isOptional }]) => [
      name,
      schema.catch(({ value }: { value: unknown }) => {
        const isLacking = isOptional === true && value === undefined;
        if (!isLacking) handleReplaced({ field: `${group}.${name}`, value, usual });
        return usual;
      }),
    ]),
  ) as FigureSchemas<Group>;
  const schema = z.object(shape);
  return schema.catch(() => schema.parse({}));
}

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
function buildFileSchema(handleReplaced: ReplacementHandler) {
  return z.object({
    node: z.string(),
    ip: z.string(),
    zone: z.string(),
    zones: z.record(z.string(), z.string()).catch({}),
    listen: z.object({ front: socketSchema, ready: socketSchema, directory: socketSchema }),
    internal_port_range: z.tuple([z.number()]).rest(z.unknown()),
    bootstrap: z.boolean().catch(({ value }) => {
      handleReplaced({ field: 'bootstrap', value, usual: false });
      return false;
    }),
    limits: buildFiguresSchema('limits', handleReplaced),
    bounds: buildFiguresSchema('bounds', handleReplaced),
    platform: z.object({ address: socketSchema }),
    tolerate: toleranceSchema.catch(toleranceSchema.parse({})),
    cloud: cloudSchema.optional().catch(undefined),
  });
}

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
  /** Link of the VM in megabits a second; 0 if the settings do not state it. */
  linkMbps: number;
  /** Region of each availability zone, by the names of the zones. */
  regionByZone: Readonly<Record<string, string>>;
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

/** Parses `host:port`. */
export function parseSocket(text: string): SocketAddress {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}

type SettingsFile = z.infer<ReturnType<typeof buildFileSchema>>;

function toDutySettings({ cloud, bounds }: SettingsFile): DutySettings | undefined {
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

function toGatewaySettings(file: SettingsFile): GatewaySettings {
  return {
    vmName: file.node,
    ip: file.ip,
    availabilityZone: file.zone,
    capacity: Math.round(file.limits.cpu_share * file.limits.cores * MILLICORES_PER_CORE),
    linkMbps: Math.round(file.limits.link_mbps),
    regionByZone: file.zones,
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
  };
}

/**
 * Builds the schema that decodes the platform's settings file into the settings of the gateway. Figures that
 * are missing or unusable are replaced by the platform's usual ones, of which the handler learns.
 */
export function buildGatewaySettingsSchema(handleReplaced: ReplacementHandler) {
  return buildFileSchema(handleReplaced).transform(toGatewaySettings);
}
