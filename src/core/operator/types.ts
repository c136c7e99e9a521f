import type { ServingConfiguration } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';

/** A decoded configuration, or why there is none. */
export type ReadConfiguration = { value: ServingConfiguration } | { problem: string };

/** Reads configurations of the gateways, as the platform writes them. */
export interface ConfigurationReader {
  decode(spec: unknown): ReadConfiguration;
  /** Fetches the version in force from the store at an address (`host:port`). */
  fetchInForce(storeAddress: string): Promise<ReadConfiguration>;
}

/** Process facilities that the command uses; tests replace them. */
export interface OperatorIo {
  writeOut(text: string): void;
  writeError(text: string): void;
  timers: TimerService;
  configurationReader: ConfigurationReader;
  /** Returns a new unique write id. */
  createWriteId(): string;
  env: Readonly<Record<string, string | undefined>>;
}
