/** Name and addresses of a gateway under test, and the address of its store. */
export interface GatewaySettingsOptions {
  name: string;
  host: string;
  zone: string;
  callersPort: number;
  readinessPort: number;
  directoryPort: number;
  peerPort: number;
  /** `host:port` of the store or of a proxy in front of it. */
  storeAddress: string;
  /** Whether the gateway starts for the first time; becomes `bootstrap` in the settings. */
  isFirstStart: boolean;
  /** Descriptors of the process that the settings state; default: none stated. */
  maxDescriptors?: number;
}

/** Limits from the platform's specification that a gateway reads from its settings. */
const BOUNDS = {
  drain_ms: 2000,
  config_apply_ms: 2000,
  evacuation_ms: 5000,
  grace_s: 8,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 100,
  cold_overage: 1.5,
  stall_ms: 5000,
  ceiling_window_s: 5,
  ttl_max_s: 5,
};

/** Limits of an entry VM in the small deployments. */
export const LIMITS = {
  cpu_share: 0.675,
  cores: 1,
  memory_mb: 350,
  max_fds: 4100,
  link_mbps: 1000,
  disk_mb: 0,
};

/** Builds the content of the settings file that the platform would write for a gateway. */
export function buildGatewaySettings(options: GatewaySettingsOptions): object {
  const { name, host, zone, peerPort } = options;
  return {
    node: name,
    ip: host,
    zone,
    listen: {
      front: `${host}:${options.callersPort}`,
      ready: `${host}:${options.readinessPort}`,
      directory: `${host}:${options.directoryPort}`,
    },
    internal_port_range: [peerPort, peerPort],
    bootstrap: options.isFirstStart,
    limits: { ...LIMITS, max_fds: options.maxDescriptors ?? LIMITS.max_fds },
    bounds: BOUNDS,
    platform: { address: options.storeAddress },
  };
}
