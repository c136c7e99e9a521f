import { z } from 'zod';
import { durationMsSchema, nameSchema } from '../../core/settings/index.ts';

/** Body of `POST /faults`; fields left out stay as they are. */
export const faultOrderSchema = z.strictObject({
  /** VM that the order is for; only needed at a control port of several members. */
  vm: nameSchema.optional(),
  /** Extra delay of each answer and of each token. */
  slowMs: z.number().int().min(0).optional(),
  /** Turns the target cold now. */
  cold: z.literal(true).optional(),
  /** Closes the listener and all connections; the target comes back as a new, empty instance. */
  down: z.boolean().optional(),
  /** Connections that are open now never answer again; new ones work. */
  silent: z.literal(true).optional(),
  /** Stops all work, as a paused process does; the work continues afterwards. */
  frozen: z.boolean().optional(),
  /** Number of answers, status excepted, that are lost after the work was done. */
  loseAnswers: z.number().int().min(0).optional(),
  /** Accepts orders with old fencing numbers. */
  ignoreFencing: z.boolean().optional(),
  /** Ends `slowMs`, `down`, `frozen` and `ignoreFencing` of this order after this time. */
  forMs: durationMsSchema.optional(),
});

export type FaultOrder = z.infer<typeof faultOrderSchema>;

/** Faults in force at one stand-in. */
export interface FaultState {
  slowMs: number;
  down: boolean;
  frozen: boolean;
  loseAnswers: number;
  ignoreFencing: boolean;
}

/** What a stand-in does when a fault starts or ends. */
export interface FaultListeners {
  handleCold?: () => void;
  /** Called when the stand-in comes back after `down`, with empty memory. */
  handleRestart?: () => void;
}
