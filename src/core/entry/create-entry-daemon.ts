import { create } from '@bufbuild/protobuf';
import { randomBytes, randomInt } from 'node:crypto';
import type { DocumentStore, DocumentSync } from '../documents/index.ts';
import { createDocumentStore, createDocumentSync } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import { createEventRecorder } from '../events/index.ts';
import type { Logger } from '../logs/index.ts';
import type { Membership } from '../membership/index.ts';
import { createMembership, openDatagramSocket } from '../membership/index.ts';
import { createMetrics } from '../metrics/index.ts';
import { createPlatformClient } from '../object-api/index.ts';
import type { Daemon } from '../process/index.ts';
import type { WaitForPort } from '../process/port-waiter.ts';
import { createPortWaiter } from '../process/port-waiter.ts';
import { createPlatformRelay } from '../relay/index.ts';
import type { Member, PeerLinks } from '../rpc/index.ts';
import { createPeerLinks, createPeerServer, MemberSchema, MemberState } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createRequestPath } from './create-request-path.ts';
import { createCustomerDaemonSets } from './customer-daemon-sets.ts';
import { createTargetComponents } from './create-target-components.ts';
import { drainDaemon } from './drain.ts';
import { createPeerHandlers } from './peer-handlers.ts';
import type { EntrySettings } from './settings.ts';
import { buildStatus } from './status.ts';

const INSTANCE_BYTES = 8;
const RANDOM_RANGE = 2 ** 32;

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
function generateRandom(): number {
  return randomInt(RANDOM_RANGE) / RANDOM_RANGE;
}

/** Builds the membership record of this process; its random instance number changes per start. */
function buildSelf({ name, address, availabilityZone, region, ports }: EntrySettings): Member {
  return create(MemberSchema, {
    name,
    address,
    availabilityZone,
    region,
    membershipPort: ports.membership,
    peerPort: ports.peers,
    callerPort: ports.callers,
    instance: randomBytes(INSTANCE_BYTES).readBigUInt64BE(),
    state: MemberState.ALIVE,
  });
}

/** Components that share the membership and the platform's objects between daemons. */
interface ClusterComponents {
  documents: DocumentStore;
  membership: Membership;
  documentSync: DocumentSync;
}

async function createClusterComponents(
  settings: EntrySettings,
  self: Member,
  timers: TimerService,
  recorder: EventRecorder,
  links: PeerLinks,
  waitForPort: WaitForPort,
): Promise<ClusterComponents> {
  const documents = createDocumentStore({ recorder });
  const { address, ports } = settings;
  const socket = await waitForPort(`${address}:${ports.membership}`, () =>
    openDatagramSocket(address, ports.membership),
  );
  let documentSync: DocumentSync | undefined;
  const membership = createMembership({
    self,
    seeds: settings.seeds,
    socket,
    timers,
    random: generateRandom,
    clock: recorder.clock,
    recorder,
    getDocumentsDigest: documents.getDigest,
    onDigestDiffers: (member, digest) => documentSync?.handleDigest(member, digest),
    onDocumentVersion: (member, version) => documentSync?.handleAnnouncedVersion(member, version),
  });
  const { announceDocumentVersion } = membership;
  documentSync = createDocumentSync({
    store: documents,
    links,
    announceDocumentVersion,
    recorder,
  });
  return { documents, membership, documentSync };
}

/** Creates and starts an entry daemon; `stop` shuts it down gracefully. */
export async function createEntryDaemon(
  settings: EntrySettings,
  timers: TimerService,
  logger: Logger,
): Promise<Daemon> {
  const self = buildSelf(settings);
  const recorder = createEventRecorder(settings.name, timers);
  const metrics = createMetrics(settings.metrics, { daemon: settings.name });
  const links = createPeerLinks();
  const waitForPort = createPortWaiter({ timers, logger });
  const { documents, membership, documentSync } = await createClusterComponents(
    settings,
    self,
    timers,
    recorder,
    links,
    waitForPort,
  );
  const platform = createPlatformClient({ ...settings.platform, timers });
  const relay = createPlatformRelay({
    membership,
    platform,
    store: documents,
    timers,
    random: generateRandom,
    recorder,
  });
  const daemonSets = createCustomerDaemonSets({ documents, membership, timers });
  const targetComponents = createTargetComponents({
    timers,
    recorder,
    documents,
    membership,
    links,
    daemonSets,
  });
  const { directory, granter, health, slots, watchTargets } = targetComponents;
  const requestPath = createRequestPath({
    settings,
    self,
    timers,
    recorder,
    metrics,
    documents,
    membership,
    links,
    health,
    directory,
    slots,
    daemonSets,
    random: generateRandom,
  });
  const getStatus = (): ReturnType<typeof buildStatus> =>
    buildStatus({ settings, documents, membership, health, requestPath });
  const peers = await waitForPort(`${settings.address}:${settings.ports.peers}`, () =>
    createPeerServer({
      address: settings.address,
      port: settings.ports.peers,
      timers,
      handlers: createPeerHandlers({
        documents,
        membership,
        recorder,
        granter,
        router: requestPath.router,
        watchTargets,
        getStatus,
      }),
    }),
  );
  targetComponents.start();
  await waitForPort(
    `${settings.address}:${settings.ports.callers}`,
    requestPath.callerServer.start,
  );
  recorder.record('entry', 'started', { daemon: settings.name });
  logger.info('listening', { name: settings.name, callers: settings.ports.callers });

  return {
    async stop() {
      await drainDaemon({
        settings,
        timers,
        recorder,
        logger,
        membership,
        requestPath,
      });
      await targetComponents.stop();
      relay.close();
      documentSync.close();
      daemonSets.stop();
      await peers.close();
      await membership.close();
      links.close();
      await Promise.all([requestPath.close(), platform.close(), metrics.close()]);
    },
  };
}
