import { MemberState, PacketKind } from '../rpc/index.ts';
import {
  ACK_DEADLINE_MS,
  DEAD_RETENTION_MS,
  JOIN_PERIOD_MS,
  PAUSE_THRESHOLD_MS,
  PING_PERIOD_MS,
  PING_REQUEST_MEMBERS,
  RETRY_PERIOD_MS,
  SUSPICION_MS,
  SYNC_PERIOD_MS,
} from './consts.ts';
import type { MembershipDraft } from './draft.ts';
import { publishEntry, sendPacket, setEntry, takeSequence } from './draft.ts';
import { getMembershipAddress, isLive, listLiveEntries, selectRandom } from './records.ts';
import type { MemberEntry, MembershipAddress, Probe } from './state.ts';

/** Drops pending pings and restarts all suspicion deadlines after this process was paused. */
function resetDeadlines(draft: MembershipDraft): void {
  const { nowMs } = draft.context;
  draft.state.probes = [];
  draft.state.relayedProbes = [];
  draft.state.nextPingMs = nowMs;
  for (const entry of draft.state.entries.values()) {
    if (entry.member.state !== MemberState.SUSPECT) continue;
    setEntry(draft, entry.member.name, { ...entry, changedMs: nowMs });
  }
}

/** Asks random live members to ping a member that did not answer. */
function sendPingRequests(draft: MembershipDraft, probe: Probe): void {
  const candidates = listLiveEntries(draft.state).filter(
    (entry) => entry.member.name !== probe.subject,
  );
  for (const entry of selectRandom(candidates, PING_REQUEST_MEMBERS, draft.context.random)) {
    sendPacket(draft, {
      to: getMembershipAddress(entry.member),
      kind: PacketKind.PING_REQUEST,
      sequence: probe.sequence,
      subject: probe.subject,
    });
  }
}

/** Marks a member as suspect after neither a direct nor an indirect ping was answered. */
function markSuspect(draft: MembershipDraft, name: string): void {
  const entry = draft.state.entries.get(name);
  if (entry === undefined || !isLive(entry.member)) return;
  if (entry.member.state === MemberState.SUSPECT) return;
  publishEntry(draft, {
    ...entry,
    member: { ...entry.member, state: MemberState.SUSPECT },
    changedMs: draft.context.nowMs,
    isOwnSuspicion: true,
  });
}

/** Advances each pending ping: after a deadline to indirect pings, and then to a suspicion. */
function updateProbes(draft: MembershipDraft): void {
  const { nowMs } = draft.context;
  const kept: Probe[] = [];
  const failed: Probe[] = [];
  for (const probe of draft.state.probes) {
    const ageMs = nowMs - probe.sentMs;
    if (ageMs >= PING_PERIOD_MS) {
      failed.push(probe);
    } else if (ageMs >= ACK_DEADLINE_MS && !probe.isIndirect) {
      sendPingRequests(draft, probe);
      kept.push({ ...probe, isIndirect: true });
    } else {
      kept.push(probe);
    }
  }
  draft.state.probes = kept;
  draft.state.relayedProbes = draft.state.relayedProbes.filter(
    (probe) => nowMs - probe.sentMs < PING_PERIOD_MS,
  );
  failed.forEach((probe) => markSuspect(draft, probe.subject));
}

/** Declares suspects dead after `SUSPICION_MS`; removes dead members after `DEAD_RETENTION_MS`. */
function updateEntries(draft: MembershipDraft): void {
  const { nowMs } = draft.context;
  for (const entry of draft.state.entries.values()) {
    const { member, changedMs } = entry;
    const ageMs = nowMs - changedMs;
    if (member.state === MemberState.SUSPECT && ageMs >= SUSPICION_MS) {
      publishEntry(draft, {
        ...entry,
        member: { ...member, state: MemberState.DEAD },
        changedMs: nowMs,
      });
    } else if (member.state === MemberState.DEAD && ageMs >= DEAD_RETENTION_MS) {
      setEntry(draft, member.name, undefined);
    }
  }
}

/**
 * Returns the next live member of the round and starts a new one when it is exhausted. A round
 * holds all live members in random order.
 */
function takeNextSubject(draft: MembershipDraft): MemberEntry | undefined {
  for (let attempt = 0; attempt < 2; attempt++) {
    const round = [...draft.state.round];
    while (round.length > 0) {
      const entry = draft.state.entries.get(round.shift() ?? '');
      draft.state.round = round;
      if (entry !== undefined && isLive(entry.member)) return entry;
    }
    const names = listLiveEntries(draft.state).map((entry) => entry.member.name);
    draft.state.round = selectRandom(names, names.length, draft.context.random);
  }
  return undefined;
}

/** Sends a ping; a suspect or dead member receives its own record, so that it can refute it. */
export function sendPing(draft: MembershipDraft, entry: MemberEntry, sequence: bigint): void {
  const isSuspectOrDead = [MemberState.SUSPECT, MemberState.DEAD].includes(entry.member.state);
  sendPacket(draft, {
    to: getMembershipAddress(entry.member),
    kind: PacketKind.PING,
    sequence,
    priorityUpdates: isSuspectOrDead ? [entry.member] : [],
  });
}

/** Pings the next member of the round and every member that this daemon itself suspects. */
function sendPeriodicPings(draft: MembershipDraft): void {
  const subject = takeNextSubject(draft);
  if (subject !== undefined) {
    const sequence = takeSequence(draft);
    const { nowMs } = draft.context;
    sendPing(draft, subject, sequence);
    draft.state.probes = [
      ...draft.state.probes,
      { sequence, subject: subject.member.name, sentMs: nowMs, isIndirect: false },
    ];
  }
  for (const entry of listLiveEntries(draft.state)) {
    const isOwn = entry.isOwnSuspicion && entry.member.state === MemberState.SUSPECT;
    if (isOwn && entry !== subject) sendPing(draft, entry, takeSequence(draft));
  }
}

/** Lists the seeds whose address is not that of a known live member. */
function listUnknownSeeds(draft: MembershipDraft): MembershipAddress[] {
  const live = [draft.state.self, ...listLiveEntries(draft.state).map((entry) => entry.member)];
  return draft.state.seeds.filter(
    (seed) =>
      !live.some(
        (member) => member.address === seed.address && member.membershipPort === seed.port,
      ),
  );
}

/** Sends a join packet to each address. */
function sendJoins(draft: MembershipDraft, seeds: readonly MembershipAddress[]): void {
  seeds.forEach((to) => {
    sendPacket(draft, { to, kind: PacketKind.JOIN, sequence: takeSequence(draft) });
  });
}

/** Pings one dead member or joins through one seed that is not a live member. */
function retryDeadMemberOrSeed(draft: MembershipDraft): void {
  const dead = [...draft.state.entries.values()].filter((entry) => !isLive(entry.member));
  const seeds = listUnknownSeeds(draft);
  const index = Math.floor(draft.context.random() * (dead.length + seeds.length));
  const entry = dead[index];
  const seed = seeds[index - dead.length];
  if (entry !== undefined) sendPing(draft, entry, takeSequence(draft));
  else if (seed !== undefined) sendJoins(draft, [seed]);
}

/** Requests all records from a random live member by a join packet. */
function sendSync(draft: MembershipDraft): void {
  const live = listLiveEntries(draft.state).map((entry) => getMembershipAddress(entry.member));
  sendJoins(draft, selectRandom(live, 1, draft.context.random));
}

/** Handles a tick: checks all deadlines and sends the packets that are due. */
export function handleTick(draft: MembershipDraft): void {
  const { state, context } = draft;
  const { nowMs } = context;
  if (nowMs - state.lastTickMs > PAUSE_THRESHOLD_MS) resetDeadlines(draft);
  state.lastTickMs = nowMs;
  updateProbes(draft);
  updateEntries(draft);
  if (nowMs >= state.nextJoinMs && listLiveEntries(state).length === 0) {
    state.nextJoinMs = nowMs + JOIN_PERIOD_MS;
    sendJoins(draft, listUnknownSeeds(draft));
  }
  if (nowMs >= state.nextPingMs) {
    state.nextPingMs = nowMs + PING_PERIOD_MS;
    sendPeriodicPings(draft);
  }
  if (nowMs >= state.nextSyncMs) {
    state.nextSyncMs = nowMs + SYNC_PERIOD_MS;
    sendSync(draft);
  }
  if (nowMs >= state.nextRetryMs) {
    state.nextRetryMs = nowMs + RETRY_PERIOD_MS;
    retryDeadMemberOrSeed(draft);
  }
}
