import type { Allocation } from '../allocation/index.ts';
import type { EventRecorder, TimelineEvent } from '../events/index.ts';
import type { Logger } from '../logs/index.ts';
import type { PlatformClient } from '../platform/index.ts';
import type { EngineOrder, TargetStatus } from '../world/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { ControllerSettings } from './settings.ts';

/** Where a member takes orders and status queries. */
export interface EngineAddress {
  vm: string;
  address: string;
  port: number;
}

/** How a target answered an order. */
export enum OrderAnswer {
  Accepted = 'accepted',
  /** The target has seen an order of a newer epoch. */
  StaleEpoch = 'stale-epoch',
}

/** Calls to engines; they fail when no answer comes before the deadline. */
export interface EngineLink {
  sendOrder(target: EngineAddress, order: EngineOrder): Promise<OrderAnswer>;
  fetchStatus(target: EngineAddress): Promise<TargetStatus>;
}

/** A lease as the entry daemon on the same VM is told of it. */
export interface LeaseReport {
  fabricDomain: string;
  epoch: number;
  validMs: number;
  grantDelayMs: number;
}

/** An allocation with the version that the platform gave to it. */
export interface VersionedAllocation {
  version: number;
  allocation: Allocation;
}

/** What a controller tells the entry daemon about once a second. */
export interface ControllerReport {
  leases: LeaseReport[];
  allocations: VersionedAllocation[];
  events: TimelineEvent[];
}

/** Call to the entry daemon on the same VM. */
export interface DaemonLink {
  /** Delivers a report and returns the names of the daemons that are live. */
  sendReport(report: ControllerReport): Promise<string[]>;
}

/** Everything that a controller does to the outside, passed in as functions. */
export interface ControllerPorts {
  timers: TimerService;
  platform: PlatformClient;
  engines: EngineLink;
  daemon: DaemonLink;
  recorder: EventRecorder;
  logger: Logger;
  /** Returns a unique id for a write. */
  createWriteId(): string;
}

/** What the parts of one controller share. */
export interface ControllerContext extends ControllerPorts {
  settings: ControllerSettings;
  /** Name of this start of the controller. */
  holder: string;
}

/** A running controller. */
export interface Controller {
  /** Names the fabric domains whose lease this controller holds. */
  listHeldDomains(): string[];
  /** Releases the leases and resolves when nothing is left to do. */
  stop(): Promise<void>;
}
