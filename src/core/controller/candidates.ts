import { selectByRendezvous } from '../rendezvous/index.ts';

/** Lists the fabric domains for whose lease a controller competes. */
export function listCandidateDomains(
  domains: readonly string[],
  liveDaemons: readonly string[],
  self: string,
  candidates: number,
): string[] {
  return domains.filter((domain) =>
    selectByRendezvous(domain, liveDaemons, candidates).includes(self),
  );
}
