import { z } from 'zod';

/** Environment variable that names the settings file of the platform. */
export const SETTINGS_VARIABLE = 'CLEMENTINEFORK_CONFIG';

const socketSchema = z.string().regex(/^[^:]+:\d+$/);

/** Fields of the platform's settings file that the gateway uses; others are ignored. */
const settingsFileSchema = z.object({
  node: z.string(),
  ip: z.string(),
  zone: z.string(),
  listen: z.object({ front: socketSchema, ready: socketSchema, directory: socketSchema }),
  internal_port_range: z.tuple([z.number(), z.number()]),
  bootstrap: z.boolean().default(false),
  limits: z.object({ cpu_share: z.number(), cores: z.number() }),
  bounds: z.object({
    drain_ms: z.number(),
    grace_s: z.number(),
    retry_budget_ratio: z.number(),
    budget_window_s: z.number(),
    retry_budget_slack: z.number(),
    cold_overage: z.number(),
    stall_ms: z.number(),
    ceiling_window_s: z.number(),
    ttl_max_s: z.number(),
  }),
  platform: z.object({ address: socketSchema }),
});

/** An address to listen on or to connect to. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Settings of the gateway, in the project's terms. */
export interface GatewaySettings {
  vmName: string;
  ip: string;
  availabilityZone: string;
  /** Processor time of this VM, in thousandths of a core. */
  capacity: number;
  /** Address that callers connect to. */
  callers: SocketAddress;
  /** Address of the platform's readiness checks. */
  readiness: SocketAddress;
  /** Address that answers which callers' address to use. */
  directory: SocketAddress;
  /** UDP port of the messages between gateways. */
  peerPort: number;
  /** Port of the metrics page. */
  metricsPort: number;
  store: SocketAddress;
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean;
  /** Time from SIGTERM to SIGKILL. */
  graceMs: number;
  /** Second sends allowed per request of a service, over all gateways. */
  retryRatio: number;
  /** Second sends allowed in addition, per window and service, over all gateways. */
  retrySlack: number;
  retryWindowMs: number;
  /** Time after which a group without one of its members is broken. */
  stallMs: number;
  /** Longest lifetime of a directory answer that callers respect. */
  maxDirectoryTtlMs: number;
}

const MS_PER_SECOND = 1_000;
const CAPACITY_PER_CORE = 1_000;

/** Port of the metrics; deploy/system.toml names the same, and it lies outside all drawn ranges. */
const METRICS_PORT = 9_464;

function parseSocket(text: string): SocketAddress {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}

/** Settings of the gateway, decoded from the platform's settings file. */
export const gatewaySettingsSchema = settingsFileSchema.transform((file): GatewaySettings => ({
  vmName: file.node,
  ip: file.ip,
  availabilityZone: file.zone,
  capacity: Math.round(file.limits.cpu_share * file.limits.cores * CAPACITY_PER_CORE),
  callers: parseSocket(file.listen.front),
  readiness: parseSocket(file.listen.ready),
  directory: parseSocket(file.listen.directory),
  peerPort: file.internal_port_range[0],
  metricsPort: METRICS_PORT,
  store: parseSocket(file.platform.address),
  isFirstStart: file.bootstrap,
  graceMs: file.bounds.grace_s * MS_PER_SECOND,
  retryRatio: file.bounds.retry_budget_ratio,
  retrySlack: file.bounds.retry_budget_slack,
  retryWindowMs: file.bounds.budget_window_s * MS_PER_SECOND,
  stallMs: file.bounds.stall_ms,
  maxDirectoryTtlMs: file.bounds.ttl_max_s * MS_PER_SECOND,
}));
