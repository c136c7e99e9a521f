import type { Placement, Placer, PlacementRequest } from '../routing/index.ts';
import type { TimerService } from '../timers/index.ts';
import { Priority } from '../world/index.ts';
import { QUEUE_DEADLINE_MS } from './admission.ts';
import type { Admission, AdmissionRefusal, Ticket } from './types.ts';

/** A request that needs a target. */
export interface PlacedRequest extends PlacementRequest {
  customer: string;
  route: string;
  priority: Priority;
  /** Ticket of a request that was admitted before. */
  ticket?: Ticket;
  signal?: AbortSignal;
}

/** A request at a target. */
export type PlacedResult =
  | { ticket: Ticket; placement: Placement; refusal?: undefined }
  | { refusal: AdmissionRefusal; ticket?: undefined; placement?: undefined };

/** What finding a target needs. */
export interface PlacementSourceOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  admission: Admission;
  placer: Placer;
}

/** Finds targets for requests. */
export interface PlacementSource {
  acquire(request: PlacedRequest): Promise<PlacedResult>;
}

/** Creates the source: admission, choice of a target, and a slot when the target is cold. */
export function createPlacementSource(options: PlacementSourceOptions): PlacementSource {
  const { timers, admission, placer } = options;

  /** Tries again under the ticket of the first try when a cold target had no slot. */
  const acquireBefore = async (
    request: PlacedRequest,
    deadlineMs: number,
  ): Promise<PlacedResult> => {
    const result = await admission.acquire({
      ...request,
      waitMs: Math.max(0, deadlineMs - timers.getMonotonicMs()),
      takeTarget: () => placer.take(request),
    });
    if (result.refusal !== undefined) return result;
    const { ticket, reservation } = result;
    const placement = await placer.acquire(reservation);
    if (placement !== undefined) return { ticket, placement };
    const next = await acquireBefore({ ...request, ticket }, deadlineMs);
    // A ticket that came with the request stays with its caller.
    if (next.refusal !== undefined && request.ticket === undefined) ticket.release(0);
    return next;
  };

  return {
    acquire: (request) => acquireBefore(request, timers.getMonotonicMs() + QUEUE_DEADLINE_MS),
  };
}
