import { z } from 'zod';
import { durationMsSchema, nameSchema } from '../../core/settings/index.ts';

/** Body of `POST /faults`; faults whose fields are omitted stay unchanged. */
export const faultRequestSchema = z.strictObject({
  /** VM to inject the faults into; only needed at a control server. */
  vm: nameSchema.optional(),
  /** Additional delay of each response and of each token. */
  slowMs: z.number().int().min(0).optional(),
  /** Makes the target cold now. */
  cold: z.literal(true).optional(),
  /** Closes the listener and all connections; `false` restarts it as a new, empty instance. */
  down: z.boolean().optional(),
  /** Open connections stay open but never respond again; new connections work. */
  silent: z.literal(true).optional(),
  /** Suspends all work, like a paused process; it continues afterwards. */
  frozen: z.boolean().optional(),
  /** Number of next responses, except those of `/status`, that are lost after the work is done. */
  loseAnswers: z.number().int().min(0).optional(),
  /** Accepts orders with stale fencing tokens. */
  ignoreFencing: z.boolean().optional(),
  /** Time after which `slowMs`, `down`, `frozen` and `ignoreFencing` of this body are reset. */
  forMs: durationMsSchema.optional(),
});

export type FaultRequest = z.infer<typeof faultRequestSchema>;

/** Current faults of one stand-in; the response to `POST /faults` contains them. */
export interface FaultState {
  slowMs: number;
  down: boolean;
  frozen: boolean;
  loseAnswers: number;
  ignoreFencing: boolean;
}

/** Callbacks of a stand-in for faults that change its own state. */
export interface FaultListeners {
  /** Called for the fault `cold`. */
  handleCold?: () => void;
  /** Called when the stand-in restarts after `down`; it has to discard its state. */
  handleRestart?: () => void;
}
