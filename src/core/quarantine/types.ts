import type { Target } from '../fleet/index.ts';

/** A request whose connection its target closed before the response was complete. */
export interface LostRequest {
  /** Id of the caller's attempt. */
  requestId: string;
  /** Shared parts of the prompt, in order; empty for a request without a prompt. */
  partIds: readonly string[];
  /** Whether the response had begun. */
  hasBegun: boolean;
}

/** The end of a target's process, with the requests of this gateway that were lost with it. */
export interface TargetCrash {
  target: Target;
  requests: LostRequest[];
}
