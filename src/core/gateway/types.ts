import type { EngineControl } from '../formation/index.ts';
import type { Target } from '../fleet/index.ts';
import type { WireFormat } from '../forwarding/index.ts';
import type { Logger } from '../logs/index.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { StoreClient, StoreObject } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Settings that the gateway's modules read. */
export interface GatewayParameters {
  vmName: string;
  availabilityZone: string;
  /** Capacity of the VM relative to the other VMs. */
  capacity: number;
  callers: ListenAddress;
  peerPort: number;
  graceMs: number;
  retryRatio: number;
  retrySlack: number;
  retryWindowMs: number;
  stallMs: number;
  maxDirectoryTtlMs: number;
  isFirstStart: boolean;
}

/** Addresses that callers connect to, and how long they may cache them. */
export interface DirectoryResponse {
  callersAddresses: string[];
  ttlMs: number;
}

/** Sources of the directory, readiness and metrics responses, which callers' requests don't use. */
export interface AuxiliaryServerHandlers {
  getDirectoryResponse(): DirectoryResponse | undefined;
  isReady(): boolean;
  renderMetrics(): Promise<string>;
}

/** Dependencies of a gateway; the platform adapter in `src/platform` implements most of them. */
export interface GatewayDependencies {
  timers: TimerService;
  logger: Logger;
  store: StoreClient;
  control: EngineControl;
  wire: WireFormat;
  decodeConfiguration(spec: unknown): { value: ServingConfiguration } | { problem: string };
  decodeTarget(object: StoreObject, nowMs: number): Target | undefined;
  startAuxiliaryServers(handlers: AuxiliaryServerHandlers): Promise<{ close(): Promise<void> }>;
  random(): number;
  /** Reads the settings file again; throws if it is unreadable or invalid. */
  readSettings(): GatewayParameters;
}
