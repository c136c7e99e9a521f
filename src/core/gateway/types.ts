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

/** Settings that the gateway's parts need. */
export interface GatewayParameters {
  vmName: string;
  availabilityZone: string;
  /** What the VM can carry, relative to the others. */
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

/** Addresses for callers, and how long they may rely on them. */
export interface DirectoryAnswer {
  callersAddresses: string[];
  ttlMs: number;
}

/** What the pages beside the callers' interface show. */
export interface GatewayPages {
  getDirectoryAnswer(): DirectoryAnswer | undefined;
  isReady(): boolean;
  renderMetrics(): Promise<string>;
}

/** What the gateway needs from outside; the platform's adapter provides the rest of it. */
export interface GatewayDependencies {
  timers: TimerService;
  logger: Logger;
  store: StoreClient;
  control: EngineControl;
  wire: WireFormat;
  decodeConfiguration(spec: unknown): { value: ServingConfiguration } | { problem: string };
  decodeTarget(object: StoreObject, nowMs: number): Target | undefined;
  startPages(pages: GatewayPages): Promise<{ close(): Promise<void> }>;
  random(): number;
  /** Reads the settings file again; throws if it cannot be read. */
  readSettings(): GatewayParameters;
}
