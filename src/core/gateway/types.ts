import type { LimitConnections } from '../connections/index.ts';
import type { DutyCalls, DutySettings } from '../duties/index.ts';
import type { CallerLocation, DirectoryResponse } from '../directory/index.ts';
import type { ErrorReporter } from '../errors/index.ts';
import type { EngineControl } from '../formation/index.ts';
import type { Target } from '../fleet/index.ts';
import type { WireFormat } from '../forwarding/index.ts';
import type { Logger } from '../logs/index.ts';
import type { WaitForPort } from '../process/port-waiter.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { StoreClient, StoreObject } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Host and port of an address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Settings that the gateway's modules read. */
export interface GatewayParameters {
  vmName: string;
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
  callers: ListenAddress;
  /** UDP port of the packets between gateways. */
  peerPort: number;
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
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean;
  /** Availability zones that may be lost at once without a loss of service; 0 if not stated. */
  toleratedZones?: number | undefined;
  /** Duties of this deployment; undefined without any. */
  duties?: DutySettings | undefined;
}

/** Handlers of the directory, readiness and metrics servers. */
export interface AuxiliaryServerHandlers {
  /** Returns the answer of the directory for a caller; undefined if no gateway is ready. */
  getDirectoryResponse(caller: CallerLocation): DirectoryResponse | undefined;
  isReady(): boolean;
  renderMetrics(): Promise<string>;
  limitConnections: LimitConnections;
}

/** Dependencies of a gateway; the platform adapter in `src/platform` implements most of them. */
export interface GatewayDependencies {
  timers: TimerService;
  logger: Logger;
  errorReporter: ErrorReporter;
  store: StoreClient;
  control: EngineControl;
  /** Calls that one gateway makes at a time; undefined if the platform has none. */
  dutyCalls?: DutyCalls | undefined;
  wire: WireFormat;
  decodeConfiguration(spec: unknown): { value: ServingConfiguration } | { problem: string };
  decodeTarget(object: StoreObject, nowMs: number): Target | undefined;
  startAuxiliaryServers(handlers: AuxiliaryServerHandlers): Promise<{ close(): Promise<void> }>;
  random(): number;
  waitForPort: WaitForPort;
  /** Reads the settings file again; throws if it is unreadable or invalid. */
  readSettings(): GatewayParameters;
}
