import type { TimerService } from '../timers/index.ts';

/** What the command uses of the process that it runs in. */
export interface OperatorIo {
  writeOut(text: string): void;
  writeError(text: string): void;
  timers: TimerService;
  /** Returns a new unique id for a write. */
  createWriteId(): string;
  env: Readonly<Record<string, string | undefined>>;
}
