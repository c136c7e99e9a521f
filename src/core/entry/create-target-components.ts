import type { DocumentStore } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { TargetDirectory, TargetHealthTask, WatchTargetsHandler } from '../probing/index.ts';
import {
  createProber,
  createProberAssignment,
  createStatusClient,
  createTargetDirectory,
  createTargetHealth,
  createWatchTargetsHandler,
} from '../probing/index.ts';
import type { PeerLinks } from '../rpc/index.ts';
import type { Granter, SlotClient } from '../slots/index.ts';
import { createGranter, createSlotClient } from '../slots/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { CustomerDaemonSets } from './customer-daemon-sets.ts';

/** Options of `createTargetComponents`. */
export interface TargetComponentsOptions {
  timers: TimerService;
  recorder: EventRecorder;
  documents: DocumentStore;
  membership: MembershipView;
  links: PeerLinks;
  daemonSets: CustomerDaemonSets;
}

/** Components that track the targets: probing, health, directory and slots. */
export interface TargetComponents {
  health: TargetHealthTask;
  directory: TargetDirectory;
  granter: Granter;
  slots: SlotClient;
  watchTargets: WatchTargetsHandler;
  start(): void;
  stop(): Promise<void>;
}

/** Creates the components that track the targets; probing begins with `start`. */
export function createTargetComponents(options: TargetComponentsOptions): TargetComponents {
  const { documents, membership, recorder, daemonSets, timers } = options;
  const assignment = createProberAssignment(membership);
  const { queryStatus, close: closeStatusClient } = createStatusClient(timers);
  const prober = createProber({ timers, documents, membership, assignment, queryStatus, recorder });
  const { mayServe, countSharingDaemons } = daemonSets;
  const health = createTargetHealth({ ...options, assignment, prober, mayServe });
  const granter = createGranter({ timers, documents, health, queryStatus, recorder });
  const slots = createSlotClient(options);
  return {
    health,
    directory: createTargetDirectory({ documents, health, countSharingDaemons }),
    granter,
    slots,
    watchTargets: createWatchTargetsHandler(prober, timers),
    start() {
      prober.start();
      health.start();
      granter.start();
    },
    async stop() {
      granter.stop();
      slots.close();
      health.stop();
      prober.stop();
      assignment.close();
      await closeStatusClient();
    },
  };
}
