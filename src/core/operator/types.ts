import type { TimerService } from '../timers/index.ts';

/** Process facilities that the command uses; tests replace them. */
export interface OperatorIo {
  writeOut(text: string): void;
  writeError(text: string): void;
  timers: TimerService;
  /** Returns a new unique write id. */
  createWriteId(): string;
  env: Readonly<Record<string, string | undefined>>;
}
