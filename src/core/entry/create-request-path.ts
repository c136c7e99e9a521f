import { randomUUID } from 'node:crypto';
import { createAdmission, createPlacementSource } from '../admission/index.ts';
import type { PlacementSource } from '../admission/index.ts';
import type { CallLedger, CallRouter } from '../calls/index.ts';
import {
  createCallLedger,
  createCallOwner,
  createCallRouter,
  createIdempotentCallRunner,
  createRetryBudget,
} from '../calls/index.ts';
import type { DocumentStore } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { CallerServer } from '../http/index.ts';
import { createCallerServer } from '../http/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { Metrics } from '../metrics/index.ts';
import type { TargetDirectory, TargetHealth } from '../probing/index.ts';
import type { InFlightTracker } from '../routing/index.ts';
import { createInFlightTracker, createPlacer } from '../routing/index.ts';
import type { Member, PeerLinks } from '../rpc/index.ts';
import type { SlotClient } from '../slots/index.ts';
import { createBufferBudget } from '../streams/index.ts';
import { createEngineClient, createServiceClient } from '../targets/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createCallOwnerClient, formatIncarnation } from './call-owner-client.ts';
import type { CustomerDaemonSets } from './customer-daemon-sets.ts';
import { findRunningTarget } from './find-running-target.ts';
import type { EntrySettings } from './settings.ts';

/** Options of `createRequestPath`. */
export interface RequestPathOptions {
  settings: EntrySettings;
  self: Member;
  timers: TimerService;
  recorder: EventRecorder;
  metrics: Metrics;
  documents: DocumentStore;
  membership: MembershipView;
  links: PeerLinks;
  health: TargetHealth;
  directory: TargetDirectory;
  slots: SlotClient;
  daemonSets: CustomerDaemonSets;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
}

/** Components of a daemon that process the requests of callers. */
export interface RequestPath {
  callerServer: CallerServer;
  router: CallRouter;
  /** Returns the bytes of answers that are buffered for slow callers. */
  getBufferedBytes(): number;
  close(): Promise<void>;
}

interface PlacementComponents {
  inFlight: InFlightTracker;
  source: PlacementSource;
}

function createPlacementComponents(options: RequestPathOptions): PlacementComponents {
  const { documents, random, daemonSets, settings, slots, timers } = options;
  const inFlight = createInFlightTracker();
  const { availabilityZone } = settings;
  const placer = createPlacer({ availabilityZone, timers, inFlight, slots, random });
  const admission = createAdmission({
    timers,
    getLimits: (customer) =>
      documents.getConfiguration()?.value.limits.find((row) => row.customer === customer),
    countDaemons: daemonSets.countDaemons,
  });
  // A target that became warm or has free capacity may accept a queued request.
  options.health.subscribe(admission.runQueue);
  return { inFlight, source: createPlacementSource({ timers, admission, placer }) };
}

function createLedger({ self, timers }: RequestPathOptions): CallLedger {
  return createCallLedger({ timers, owner: self.name, incarnation: formatIncarnation(self) });
}

/** Creates the components between the callers and the targets. */
export function createRequestPath(options: RequestPathOptions): RequestPath {
  const { directory, documents, health, links, membership, metrics, recorder, timers } = options;
  const { settings, daemonSets } = options;
  const { handleObservation } = health;
  const { inFlight, source } = createPlacementComponents(options);
  const services = createServiceClient({ timers });
  const budget = createBufferBudget();
  const ledger = createLedger(options);
  const callDependencies = {
    timers,
    events: recorder,
    metrics,
    services,
    source,
    listServiceTargets: directory.listServiceTargets,
    handleObservation,
  };
  const ownerClient = createCallOwnerClient(membership, links);
  const owner = createCallOwner(callDependencies, ledger);
  const router = createCallRouter({
    dependencies: callDependencies,
    ledger,
    owner,
    ownerClient,
  });
  const callerServer = createCallerServer({
    address: settings.address,
    port: settings.ports.callers,
    timers,
    events: recorder,
    metrics,
    getAddresses: ({ customer, availabilityZone }) =>
      daemonSets.getAddresses(customer, availabilityZone, ledger.createPrefix()),
    directory,
    findRunningTarget: (vm) => findRunningTarget(documents, health, vm),
    source,
    inFlight,
    answerDependencies: {
      timers,
      events: recorder,
      metrics,
      engine: createEngineClient({ timers }),
      budget,
      reportObservation: handleObservation,
      createId: randomUUID,
    },
    router,
    idempotentCalls: createIdempotentCallRunner(callDependencies, createRetryBudget()),
    createRequestId: randomUUID,
  });
  return {
    callerServer,
    router,
    getBufferedBytes: budget.getBytes,
    async close() {
      ledger.stop();
      await services.close();
    },
  };
}
