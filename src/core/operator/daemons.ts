import { formatProblem } from '../errors/index.ts';
import type { GetStatusResponse, Member, PeerLinks } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import { MAX_PARALLEL_CALLS } from './consts.ts';

/** Address at which a daemon accepts calls of other processes of the system. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** Status of a daemon, or the reason why it could not be fetched. */
export interface DaemonStatusResult extends PeerAddress {
  /** Undefined for a configured address that did not answer and that no known member has. */
  name: string | undefined;
  /** State of the daemon in the member lists of the other daemons; undefined if none has it. */
  membership: MemberState | undefined;
  status?: GetStatusResponse;
  problem?: string;
}

function formatKey({ address, port }: PeerAddress): string {
  return `${address} ${port}`;
}

async function fetchStatus(links: PeerLinks, peer: PeerAddress): Promise<DaemonStatusResult> {
  const base = { address: peer.address, port: peer.port, membership: undefined };
  try {
    const status = await links.getClient(peer.address, peer.port).getStatus({});
    return { ...base, name: status.daemon, status };
  } catch (error) {
    return { ...base, name: undefined, problem: formatProblem(error) };
  }
}

/** Maps the items in batches of `MAX_PARALLEL_CALLS` concurrent calls; results keep the order. */
export async function mapInBatches<Item, Result>(
  items: readonly Item[],
  run: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  for (let start = 0; start < items.length; start += MAX_PARALLEL_CALLS) {
    const batch = items.slice(start, start + MAX_PARALLEL_CALLS);
    results.push(...(await Promise.all(batch.map(run))));
  }
  return results;
}

/** Adds members by address; a known member is replaced only if its state is dead. */
function addMembers(known: Map<string, Member>, members: readonly Member[]): void {
  members.forEach((member) => {
    const key = formatKey({ address: member.address, port: member.peerPort });
    const other = known.get(key);
    const shouldReplace = other === undefined || other.state === MemberState.DEAD;
    if (shouldReplace) known.set(key, member);
  });
}

/**
 * Fetches the status of the configured daemons and of all members that they list, transitively.
 * Dead members are asked as well, because a daemon on the other side of a network partition looks
 * dead but still serves.
 */
export async function fetchDaemonStatuses(
  links: PeerLinks,
  seeds: readonly PeerAddress[],
): Promise<DaemonStatusResult[]> {
  const members = new Map<string, Member>();
  const resultsByAddress = new Map<string, DaemonStatusResult>();
  let next: PeerAddress[] = [...seeds];
  while (next.length > 0) {
    const batchResults = await mapInBatches(next, (peer) => fetchStatus(links, peer));
    batchResults.forEach((result) => {
      resultsByAddress.set(formatKey(result), result);
      addMembers(members, result.status?.members ?? []);
    });
    next = [...members.values()]
      .map(({ address, peerPort }) => ({ address, port: peerPort }))
      .filter((peer) => !resultsByAddress.has(formatKey(peer)));
  }
  return [...resultsByAddress.entries()].map(([key, result]) => {
    const member = members.get(key);
    return { ...result, name: result.name ?? member?.name, membership: member?.state };
  });
}
