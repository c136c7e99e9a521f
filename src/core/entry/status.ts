import type { MessageInitShape } from '@bufbuild/protobuf';
import type { DocumentStore } from '../documents/index.ts';
import type { MembershipView } from '../membership/index.ts';
import { listUsableVms } from '../probing/index.ts';
import type { TargetHealth } from '../probing/index.ts';
import type { GetStatusResponseSchema } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import type { RequestPath } from './create-request-path.ts';
import type { EntrySettings } from './settings.ts';

/** Options of `buildStatus`. */
export interface StatusOptions {
  settings: EntrySettings;
  documents: DocumentStore;
  membership: MembershipView;
  health: Pick<TargetHealth, 'getReport'>;
  requestPath: RequestPath;
}

/** Builds the response of the `GetStatus` RPC. */
export function buildStatus(
  options: StatusOptions,
): MessageInitShape<typeof GetStatusResponseSchema> {
  const { documents, health, membership, requestPath, settings } = options;
  const self = membership.findMember(membership.self);
  return {
    daemon: settings.name,
    availabilityZone: settings.availabilityZone,
    leaving: self?.state === MemberState.LEAVING,
    documents: documents.listVersions(),
    members: membership.listMembers(),
    targets: listUsableVms(documents, () => true)
      .map((vm) => health.getReport(vm))
      .filter((report) => report !== undefined),
    streams: requestPath.callerServer.countStreams(),
    bufferedBytes: BigInt(requestPath.getBufferedBytes()),
  };
}
