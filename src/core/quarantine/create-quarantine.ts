import type { Target } from '../fleet/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { createCrashLedger } from './crash-ledger.ts';
import { createCrashWatch } from './crash-watch.ts';
import { createPartHistory } from './part-history.ts';
import type { QuarantineEntry } from './quarantine-list.ts';
import { createQuarantineList, getTrialMs } from './quarantine-list.ts';
import { selectCulprits } from './select-culprits.ts';
import { trimEvidence } from './trim-evidence.ts';
import type {
  CrashReport,
  PartKey,
  PromptEvidence,
  PromptRequest,
  QuarantineNotice,
  TargetCrash,
} from './types.ts';
import { NO_EVIDENCE } from './types.ts';

/** Follows one request with a prompt. */
export interface PromptGuard {
  /** Whether the request may be sent to a target now; false if its prompt is in quarantine. */
  admit(): boolean;
  /** Returns when the caller of a request that was not admitted should return. */
  getRetryAfterMs(): number;
  /** Records that the answer has begun. */
  recordBegun(): void;
  /** Records that a target closed the connection before the response was complete. */
  recordLost(target: Target, hasBegun: boolean): void;
  /** Ends the guard; it must be called once the request is over. */
  end(): void;
}

/** A change of what is in quarantine, for logs. */
export enum QuarantineChange {
  Added = 'added',
  /** Another gateway has added it. */
  Learned = 'learned',
  /** A single request is sent to find out whether the parts still crash targets. */
  Tried = 'tried',
  /** An answer has begun with one of the parts. */
  Cleared = 'cleared',
}

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'scheduleOnce' | 'waitFor'>;
  /** Resolves to whether a process accepts connections at an address (`host:port`). */
  probeListener(address: string): Promise<boolean>;
  /** Whether this gateway is the one that may try the parts of a key again. */
  isTrialOwner(key: string): boolean;
  /** Called for each crash that requests of this gateway were lost with. */
  handleCrash(crash: TargetCrash): void;
  handleChange(change: QuarantineChange, entry: QuarantineEntry): void;
  /** Sends the evidence to the other gateways without waiting for the next packet. */
  sendNow(): void;
}

/**
 * Keeps requests whose prompts crash targets away from them. All gateways exchange what they see, and
 * each one draws the same conclusions.
 */
export interface Quarantine {
  /** Starts to follow a request; `refuse` is called if its prompt is quarantined while it waits. */
  startRequest(request: PromptRequest, refuse: () => void): PromptGuard;
  /** Builds what the other gateways are told. */
  buildEvidence(): PromptEvidence;
  /** Adds what another gateway tells; returns whether it tells of a crash or set not known yet. */
  receiveEvidence(evidence: PromptEvidence): boolean;
  countEntries(): number;
}

/** Time for the reports of other gateways to arrive before a crash is explained. */
const SETTLE_MS = 250;
/** How long a crash is reported; every gateway gets a packet in this time, also through hubs. */
const REPORT_MS = 3_000;
/** How long answers that begin with the parts of a crash, or of a removed set, are reported. */
const ANNOUNCE_MS = 10_000;
/** Parts whose answers are reported; callers choose how many parts a crash involves. */
const MAX_ANNOUNCED_PARTS = 1_024;
/** Smallest step by which the time of an answer is moved on by another gateway's report. */
const MIN_BEGIN_STEP_MS = 500;
/** `Retry-After` while another request is tried. */
const TRIAL_RETRY_AFTER_MS = 2_000;

const OPEN_GUARD: PromptGuard = {
  admit: () => true,
  getRetryAfterMs: () => 0,
  recordBegun: () => undefined,
  recordLost: () => undefined,
  end: () => undefined,
};

/** State of a followed request. */
interface FollowedRequest {
  customer: string;
  parts: readonly PartKey[];
  hasBegun: boolean;
  /** Whether a target was lost under it. */
  wasLost: boolean;
  refuse(): void;
}

function formatTargetKey({ id, startedWallMs }: Target): string {
  return `${id}@${startedWallMs}`;
}

/** Creates an empty quarantine. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { timers, isTrialOwner, handleChange } = options;
  const getMonotonicMs = (): number => timers.getMonotonicMs();
  const history = createPartHistory();
  const ledger = createCrashLedger(getMonotonicMs);
  const list = createQuarantineList(getMonotonicMs);
  const followed = new Set<FollowedRequest>();
  /** The request with which a set is tried, by the key of the set. */
  const trials = new Map<string, FollowedRequest>();
  /** Until when the answers that began with a part are reported. */
  const announcedUntilMs = new Map<PartKey, number>();
  let cancelSettle: Unsubscribe | undefined;

  const formatKey = (parts: readonly PartKey[]): string => parts.join(' ');

  const announceParts = (parts: readonly PartKey[]): void => {
    const untilMs = getMonotonicMs() + ANNOUNCE_MS;
    for (const part of parts) {
      const isKnown = announcedUntilMs.has(part);
      if (isKnown || announcedUntilMs.size < MAX_ANNOUNCED_PARTS) {
        announcedUntilMs.set(part, untilMs);
      }
    }
  };

  /** Refuses the requests that wait or have not begun, so that they crash no more targets. */
  const refuseFollowed = (): void => {
    const refused = [...followed].filter(
      (request) =>
        !request.hasBegun && list.findEntries(request.customer, request.parts).length > 0,
    );
    refused
      .filter((request) => ![...trials.values()].includes(request))
      .forEach((request) => request.refuse());
  };

  const explainCrashes = (): void => {
    cancelSettle = undefined;
    const unexplained = ledger.listIncidents().filter((incident) => !list.countCrash(incident));
    const culprits = selectCulprits(unexplained, history.getBegunMs);
    for (const culprit of culprits) handleChange(QuarantineChange.Added, list.addCulprit(culprit));
    if (culprits.length === 0) return;
    refuseFollowed();
    options.sendNow();
  };

  /** Explains the crashes once the reports and answers that are under way have arrived. */
  const scheduleExplanation = (): void => {
    cancelSettle ??= timers.scheduleOnce(SETTLE_MS, explainCrashes);
  };

  const addReport = (report: CrashReport): boolean => {
    if (!ledger.addReport(report)) return false;
    announceParts(report.suspects.flatMap(({ parts }) => parts));
    ledger.listIncidents().forEach((incident) => list.countCrash(incident));
    scheduleExplanation();
    return true;
  };

  const recordBegun = (part: PartKey, atMs: number): void => {
    history.recordBegun(part, atMs);
    // An answer may decide between two parts that both may have caused a crash.
    if (announcedUntilMs.has(part)) scheduleExplanation();
    for (const entry of list.clearPart(part, atMs)) {
      announceParts(entry.parts);
      trials.delete(formatKey(entry.parts));
      handleChange(QuarantineChange.Cleared, entry);
    }
  };

  const toPartKeys = (service: string, partIds: readonly string[]): PartKey[] => [
    ...new Set(partIds.map((id) => `${service}/${id}`)),
  ];

  const watch = createCrashWatch({
    timers,
    probeListener: options.probeListener,
    handleCrash(crash) {
      options.handleCrash(crash);
      const { target, atMs, requests } = crash;
      const suspects = requests
        .filter(({ hasBegun }) => !hasBegun)
        .map(({ customer, sharedPartIds }) => ({
          customer: customer ?? '',
          parts: toPartKeys(target.service, sharedPartIds),
        }))
        .filter(({ parts }) => parts.length > 0);
      const ageMs = getMonotonicMs() - atMs;
      if (addReport({ targetKey: formatTargetKey(target), suspects, ageMs })) options.sendNow();
    },
  });

  /** Whether a request may be the trial of a set, which it then is until it ends. */
  const takeTrial = (entry: QuarantineEntry, request: FollowedRequest): boolean => {
    const key = formatKey(entry.parts);
    if (request.wasLost || getMonotonicMs() < getTrialMs(entry)) return false;
    const running = trials.get(key);
    if (running !== undefined) return running === request;
    if (!isTrialOwner(key)) return false;
    trials.set(key, request);
    handleChange(QuarantineChange.Tried, entry);
    return true;
  };

  const receiveNotice = (notice: QuarantineNotice): boolean => {
    const lastCrashMs = getMonotonicMs() - notice.ageMs;
    const isCleared = (part: PartKey): boolean =>
      (history.getBegunMs(part) ?? -Infinity) > lastCrashMs;
    const parts = notice.parts.filter((part) => !isCleared(part));
    // The other gateway has missed that answers began with them.
    announceParts(notice.parts.filter(isCleared));
    if (parts.length === 0 || !list.addNotice({ ...notice, parts })) return false;
    announceParts(parts);
    const [entry] = list.listEntries().filter((one) => formatKey(one.parts) === formatKey(parts));
    if (entry !== undefined) handleChange(QuarantineChange.Learned, entry);
    return true;
  };

  return {
    startRequest({ service, customer, sharedPartIds, requestId }, refuse) {
      if (sharedPartIds.length === 0) return OPEN_GUARD;
      const request: FollowedRequest = {
        customer: customer ?? '',
        parts: toPartKeys(service, sharedPartIds),
        hasBegun: false,
        wasLost: false,
        refuse,
      };
      followed.add(request);
      const findEntries = (): QuarantineEntry[] =>
        list.findEntries(request.customer, request.parts);
      return {
        admit: () => findEntries().every((entry) => takeTrial(entry, request)),
        getRetryAfterMs() {
          const trialMs = Math.max(...findEntries().map(getTrialMs));
          return Math.max(TRIAL_RETRY_AFTER_MS, trialMs - getMonotonicMs());
        },
        recordBegun() {
          if (request.hasBegun) return;
          request.hasBegun = true;
          const now = getMonotonicMs();
          request.parts.forEach((part) => recordBegun(part, now));
        },
        recordLost(target, hasBegun) {
          request.wasLost ||= !hasBegun;
          watch.recordLostRequest(target, { requestId, customer, sharedPartIds, hasBegun });
        },
        end() {
          followed.delete(request);
          for (const [key, trial] of trials) if (trial === request) trials.delete(key);
        },
      };
    },
    buildEvidence() {
      const now = getMonotonicMs();
      for (const [part, untilMs] of announcedUntilMs) {
        if (untilMs < now) announcedUntilMs.delete(part);
      }
      const entries = list.listEntries();
      if (entries.length === 0 && announcedUntilMs.size === 0) return NO_EVIDENCE;
      const parts = new Set([...announcedUntilMs.keys(), ...entries.flatMap((one) => one.parts)]);
      return trimEvidence({
        crashes: ledger
          .listIncidents()
          .filter(({ learnedMs }) => now - learnedMs <= REPORT_MS)
          .map(({ targetKey, atMs, suspects }) => ({ targetKey, suspects, ageMs: now - atMs })),
        begins: [...parts].flatMap((part) => {
          const begunMs = history.getBegunMs(part);
          return begunMs === undefined ? [] : { part, ageMs: now - begunMs };
        }),
        notices: entries.map(({ parts: quarantined, customers, crashes, lastCrashMs }) => ({
          parts: quarantined,
          customers: [...customers],
          crashes,
          ageMs: now - lastCrashMs,
        })),
      });
    },
    receiveEvidence({ crashes, begins, notices }) {
      const now = getMonotonicMs();
      for (const { part, ageMs } of begins) {
        const atMs = now - ageMs;
        const knownMs = history.getBegunMs(part) ?? -Infinity;
        if (atMs > knownMs + MIN_BEGIN_STEP_MS) recordBegun(part, atMs);
      }
      const newReports = crashes.filter(addReport);
      const newNotices = notices.filter(receiveNotice);
      if (newNotices.length > 0) refuseFollowed();
      return newReports.length + newNotices.length > 0;
    },
    countEntries: () => list.listEntries().length,
  };
}
