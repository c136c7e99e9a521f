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
  /** `host:port` of the calls of duties; default: there are none. */
  dutyAddress?: string | undefined;
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

/** Bounds of the duties, shorter than in use so that a short run has several windows. */
export const DUTY_BOUNDS = {
  lease_ms: 3000,
  thaw_slack_ms: 300,
  usage_window_s: 2,
  usage_tolerance: 0.05,
  usage_late_s: 5,
};

const DUTY_CALLS_PER_SECOND = 50;

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
    bounds: options.dutyAddress === undefined ? BOUNDS : { ...BOUNDS, ...DUTY_BOUNDS },
    platform: { address: options.storeAddress },
    ...(options.dutyAddress !== undefined && {
      cloud: {
        address: options.dutyAddress,
        duties: ['usage_report'],
        duty_per_s: DUTY_CALLS_PER_SECOND,
      },
    }),
  };
}
