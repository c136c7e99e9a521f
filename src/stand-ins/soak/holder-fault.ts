import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import type { SoakGateway } from './gateways.ts';
import type { Observations } from './observations.ts';
import { pauseGateway } from './pause-gateway.ts';
import { restartGateway } from './restart-gateway.ts';

/** Moment at which a holder of the duties is hit. */
export enum HolderFaultMoment {
  /** The store has the counts of a window, and the holder has not reported them. */
  Fixed = 'fixed',
  /** The platform has accepted a report, and the holder does not know it. */
  Sent = 'sent',
}

/** What happens to the holder. */
export enum HolderFaultKind {
  Kill = 'kill',
  /** Pauses the process for longer than another gateway needs to take over. */
  Pause = 'pause',
}

/** The fault of a run, and the parts of the system that it acts on. */
export interface HolderFaultOptions {
  moment: HolderFaultMoment;
  kind: HolderFaultKind;
  timers: TimerService;
  store: Pick<StandInStore, 'getObject'>;
  gateways: readonly SoakGateway[];
  observations: Pick<Observations, 'pauses'>;
}

/** Hits a holder of the duties once. */
export interface HolderFault {
  /** To be called with the holder of each accepted report, before it is answered. */
  handleReport(holder: string): void;
  wasInjected(): boolean;
  stop(): void;
}

/** Time of a run before the fault. */
const AFTER_MS = 8_000;
const PAUSE_MS = 7_500;
const POLL_MS = 5;
const DUTIES = 'clementinefork-duties';

/** Waits for the moment, and hits the holder then. */
export function startHolderFault(options: HolderFaultOptions): HolderFault {
  const { moment, kind, timers, store, gateways, observations } = options;
  const startMs = timers.getMonotonicMs();
  let isInjected = false;

  const hit = (holder: string): void => {
    const gateway = gateways.find(({ name }) => name === holder);
    if (isInjected || gateway === undefined || timers.getMonotonicMs() - startMs < AFTER_MS) return;
    isInjected = true;
    if (kind === HolderFaultKind.Pause) void pauseGateway(timers, observations, gateway, PAUSE_MS);
    else {
      gateway.process.sendSignal('SIGKILL');
      void restartGateway(timers, gateway);
    }
  };

  const getRevision = (): number => store.getObject(DUTIES, 'usage')?.metadata.revision ?? 0;
  let revision = getRevision();
  const stop = timers.subscribe(POLL_MS, () => {
    if (getRevision() === revision) return;
    revision = getRevision();
    const lease = store.getObject(DUTIES, 'groups')?.spec as { holder?: string } | undefined;
    if (moment === HolderFaultMoment.Fixed) hit(lease?.holder ?? '');
  });
  return {
    handleReport(holder) {
      if (moment === HolderFaultMoment.Sent) hit(holder);
    },
    wasInjected: () => isInjected,
    stop,
  };
}
