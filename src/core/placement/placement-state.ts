import type { TimerService } from '../timers/index.ts';
import type { WorkEstimates } from '../work/index.ts';
import { createWorkEstimates } from '../work/index.ts';
import type { RecentPriorities } from './recent-priorities.ts';
import { createRecentPriorities } from './recent-priorities.ts';
import type { ReturnTimes } from './return-times.ts';
import { createReturnTimes } from './return-times.ts';
import type { ServedShares } from './served-shares.ts';
import { createServedShares } from './served-shares.ts';
import type { ServiceTimes } from './service-times.ts';
import { createServiceTimes } from './service-times.ts';
import type { WaitingLines } from './waiting-lines.ts';
import { createWaitingLines } from './waiting-lines.ts';

/** What a gateway remembers of the requests that it places; nothing of it is shared with others. */
export interface PlacementState {
  lines: WaitingLines;
  serviceTimes: ServiceTimes;
  work: WorkEstimates;
  shares: ServedShares;
  priorities: RecentPriorities;
  returns: ReturnTimes;
}

/** Creates the state of a gateway that has not placed any request. */
export function createPlacementState(
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>,
): PlacementState {
  return {
    lines: createWaitingLines(timers),
    serviceTimes: createServiceTimes(),
    work: createWorkEstimates(),
    shares: createServedShares(timers),
    priorities: createRecentPriorities(timers),
    returns: createReturnTimes(),
  };
}
