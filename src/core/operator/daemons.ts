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
export interface DaemonAnswer extends PeerAddress {
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

async function fetchStatus(links: PeerLinks, peer: PeerAddress): Promise<DaemonAnswer> {
  const base = { address: peer.address, port: peer.port, membership: undefined };
  try {
    const status = await links.getClient(peer.address, peer.port).getStatus({});
    return { ...base, name: status.daemon, status };
  } catch (error) {
    return { ...base, name: undefined, problem: formatProblem(error) };
  }
}

/** Maps the items in batches of `MAX_PARALLEL_CALLS` concurrent calls; results keep the order. */
export async function runBounded<Item, Result>(
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
    const isBetter = other === undefined || other.state === MemberState.DEAD;
    if (isBetter) known.set(key, member);
  });
}

/**
 * Fetches the status of the configured daemons and of all members that they list, transitively.
 * Dead members are asked as well, because a daemon on the other side of a network partition looks
 * dead but still serves.
 */
export async function fetchDaemonAnswers(
  links: PeerLinks,
  seeds: readonly PeerAddress[],
): Promise<DaemonAnswer[]> {
  const members = new Map<string, Member>();
  const answers = new Map<string, DaemonAnswer>();
  let next: PeerAddress[] = [...seeds];
  while (next.length > 0) {
    const round = await runBounded(next, (peer) => fetchStatus(links, peer));
    round.forEach((answer) => {
      answers.set(formatKey(answer), answer);
      addMembers(members, answer.status?.members ?? []);
    });
    next = [...members.values()]
      .map(({ address, peerPort }) => ({ address, port: peerPort }))
      .filter((peer) => !answers.has(formatKey(peer)));
  }
  return [...answers.entries()].map(([key, answer]) => {
    const member = members.get(key);
    return { ...answer, name: answer.name ?? member?.name, membership: member?.state };
  });
}
