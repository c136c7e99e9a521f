import type { Allocation } from '../allocation/index.ts';
import type { EventRecorder, TimelineEvent } from '../events/index.ts';
import type { Logger } from '../logs/index.ts';
import type { PlatformClient } from '../object-api/index.ts';
import type { EngineOrder, TargetStatus } from '../domain-types/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { ControllerSettings } from './settings.ts';

/** Address at which a member accepts orders and status queries. */
export interface EngineAddress {
  vm: string;
  address: string;
  port: number;
}

/** Answer of an engine to an order. */
export enum OrderAnswer {
  Accepted = 'accepted',
  /** The engine has received an order with a newer epoch. */
  StaleEpoch = 'stale-epoch',
}

/** Sends orders and status queries to engines; calls reject when the deadline passes. */
export interface EngineControlClient {
  sendOrder(target: EngineAddress, order: EngineOrder): Promise<OrderAnswer>;
  fetchStatus(target: EngineAddress): Promise<TargetStatus>;
}

/** A held lease as reported to the entry daemon on the same VM. */
export interface LeaseReport {
  fabricDomain: string;
  epoch: number;
  /** Time for which the lease remains valid. */
  validMs: number;
  /** Time until which slots of an earlier granter may still be valid, from now. */
  grantDelayMs: number;
}

/** An allocation with the version that the platform assigned to it. */
export interface VersionedAllocation {
  version: number;
  allocation: Allocation;
}

/** Periodic report of a controller to the entry daemon, about once a second. */
export interface ControllerReport {
  leases: LeaseReport[];
  allocations: VersionedAllocation[];
  events: TimelineEvent[];
}

/** Sends reports to the entry daemon on the same VM. */
export interface DaemonClient {
  /** Delivers a report and returns the names of the daemons that are live. */
  sendReport(report: ControllerReport): Promise<string[]>;
}

/** External dependencies of a controller, passed in so that tests can replace them. */
export interface ControllerDependencies {
  timers: TimerService;
  platform: PlatformClient;
  engines: EngineControlClient;
  daemon: DaemonClient;
  recorder: EventRecorder;
  logger: Logger;
  /** Returns a unique id for a write. */
  createWriteId(): string;
}

/** Dependencies and settings that the parts of one controller share. */
export interface ControllerContext extends ControllerDependencies {
  settings: ControllerSettings;
  /** Name of this controller process as a lease holder; unique for each start. */
  holder: string;
}

/** A running controller. */
export interface Controller {
  /** Returns the fabric domains whose lease this controller holds. */
  listHeldDomains(): string[];
  /** Waits for running jobs, releases the leases and sends the final report. */
  stop(): Promise<void>;
}
