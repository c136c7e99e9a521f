import type { MessageInitShape } from '@bufbuild/protobuf';
import type { CallRouter } from '../calls/index.ts';
import type { DocumentStore } from '../documents/index.ts';
import type { EventFilter, EventRecorder } from '../events/index.ts';
import { toEventMessage, toTimelineEvent } from '../events/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { WatchTargetsHandler } from '../probing/index.ts';
import type {
  GetStatusResponseSchema,
  PeerHandlers,
  ReadTimelineRequest,
  ReportLeasesRequest,
} from '../rpc/index.ts';
import type { Granter } from '../slots/index.ts';

/** Options of `createPeerHandlers`. */
export interface PeerHandlersOptions {
  documents: DocumentStore;
  membership: MembershipView;
  recorder: EventRecorder;
  granter: Granter;
  router: CallRouter;
  watchTargets: WatchTargetsHandler;
  getStatus: () => MessageInitShape<typeof GetStatusResponseSchema>;
}

function buildFilter({ filter, sinceWallMs, limit }: ReadTimelineRequest): EventFilter {
  const attributes = filter.map(({ name, value }) => ({ name, value }));
  const base = { attributes, sinceWallMs: Number(sinceWallMs) };
  return limit === 0 ? base : { ...base, limit };
}

/** Creates the handlers of the `PeerService` RPCs. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
  const { documents, granter, membership, recorder, router } = options;

  const handleReport = (request: ReportLeasesRequest): void => {
    recorder.addRemoteEvents(request.events.map(toTimelineEvent));
    request.documents.forEach((document) => documents.applyDocument(document));
    granter.handleLeases(request.leases);
  };

  return {
    fetchDocuments: ({ held }) => ({ documents: documents.listDocumentsSince(held) }),
    watchTargets: (request, context) => options.watchTargets(request, context),
    grantSlots: (request) => granter.grantSlots(request),
    forwardCall: (call) => router.handleForwardCall(call),
    lookupCall: (request) => router.handleLookupCall(request),
    reportLeases(request) {
      handleReport(request);
      return { members: membership.listLiveMembers() };
    },
    readTimeline: (request) => ({
      events: recorder.read(buildFilter(request)).map(toEventMessage),
    }),
    getStatus: () => options.getStatus(),
  };
}
