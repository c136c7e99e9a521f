import { ALLOCATION_KIND } from '../allocation/index.ts';
import { buildDocument } from '../documents/index.ts';
import { toEventMessage } from '../events/index.ts';
import type { PeerClient } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import type { DaemonClient, VersionedAllocation } from './types.ts';

function toDocument({
  allocation,
  version,
}: VersionedAllocation): ReturnType<typeof buildDocument> {
  const { fabricDomain } = allocation;
  const kind = ALLOCATION_KIND;
  return buildDocument({ kind, name: fabricDomain, version, value: allocation, deleted: false });
}

/** Creates the client for `ReportLeases` calls to the entry daemon on the same VM. */
export function createDaemonClient(controller: string, client: PeerClient): DaemonClient {
  return {
    async sendReport({ leases, allocations, events }) {
      const { members } = await client.reportLeases({
        controller,
        leases: leases.map((lease) => ({ ...lease, epoch: BigInt(lease.epoch) })),
        documents: allocations.map(toDocument),
        events: events.map(toEventMessage),
      });
      return members.filter(({ state }) => state !== MemberState.LEAVING).map(({ name }) => name);
    },
  };
}
