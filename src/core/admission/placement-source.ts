import type { Placement, Placer, PlacementRequest } from '../routing/index.ts';
import type { TimerService } from '../timers/index.ts';
import { Priority } from '../domain-types/index.ts';
import { QUEUE_DEADLINE_MS } from './admission.ts';
import type { Admission, AdmissionRefusal, Ticket } from './types.ts';

/** A request that needs admission and a target. */
export interface PlacementSourceRequest extends PlacementRequest {
  customer: string;
  route: string;
  priority: Priority;
  /** Ticket of a request that has already been admitted and needs another target. */
  ticket?: Ticket;
  signal?: AbortSignal;
}

/** The ticket and placement of a request, or why it was refused. */
export type PlacementSourceResult =
  | { ticket: Ticket; placement: Placement; refusal?: undefined }
  | { refusal: AdmissionRefusal; ticket?: undefined; placement?: undefined };

/** Dependencies of the placement source. */
export interface PlacementSourceOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  admission: Admission;
  placer: Placer;
}

/** Admits requests and finds targets for them. */
export interface PlacementSource {
  acquire(request: PlacementSourceRequest): Promise<PlacementSourceResult>;
}

/** Creates a source that combines admission, target selection and slots of cold targets. */
export function createPlacementSource(options: PlacementSourceOptions): PlacementSource {
  const { timers, admission, placer } = options;

  /** Retries with the ticket of the first try when the selected cold target had no free slot. */
  const acquireBefore = async (
    request: PlacementSourceRequest,
    deadlineMs: number,
  ): Promise<PlacementSourceResult> => {
    const result = await admission.acquire({
      ...request,
      waitMs: Math.max(0, deadlineMs - timers.getMonotonicMs()),
      reserveTarget: () => placer.reserve(request),
    });
    if (result.refusal !== undefined) return result;
    const { ticket, reservation } = result;
    const placement = await placer.acquireSlot(reservation);
    if (placement !== undefined) return { ticket, placement };
    const next = await acquireBefore({ ...request, ticket }, deadlineMs);
    // A ticket passed in with the request is released by its owner.
    if (next.refusal !== undefined && request.ticket === undefined) ticket.release(0);
    return next;
  };

  return {
    acquire: (request) => acquireBefore(request, timers.getMonotonicMs() + QUEUE_DEADLINE_MS),
  };
}
