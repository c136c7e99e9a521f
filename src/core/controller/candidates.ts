import { selectByRendezvous } from '../rendezvous/index.ts';

/**
 * Returns the fabric domains whose lease a controller competes for. Rendezvous hashing selects
 * `candidates` of the live daemons for each domain; the controller runs on the VM of `self`.
 */
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
