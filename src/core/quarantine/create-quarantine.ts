import { formatTargetKey } from '../fleet/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { createCrashLedger } from './crash-ledger.ts';
import { createCrashWatch } from './crash-watch.ts';
import { createPartHistory } from './part-history.ts';
import type { QuarantineEntry } from './quarantine-list.ts';
import { createQuarantineList, getTrialMs } from './quarantine-list.ts';
import { selectCulprits } from './select-culprits.ts';
import { createTrials } from './trials.ts';
import { trimEvidence } from './trim-evidence.ts';
import { createWatchedParts } from './watched-parts.ts';
import type {
  CrashReport,
  FollowedRequest,
  PartKey,
  PromptEvidence,
  PromptGuard,
  PromptRequest,
  QuarantineNotice,
  TargetCrash,
} from './types.ts';
import { NO_EVIDENCE, QuarantineChange } from './types.ts';

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

/** Creates an empty quarantine. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { timers, handleChange } = options;
  const getMonotonicMs = (): number => timers.getMonotonicMs();
  const history = createPartHistory();
  const ledger = createCrashLedger(getMonotonicMs);
  const list = createQuarantineList(getMonotonicMs);
  const followed = new Set<FollowedRequest>();
  const watched = createWatchedParts(getMonotonicMs);
  const trials = createTrials({
    getMonotonicMs,
    isTrialOwner: options.isTrialOwner,
    handleTrial: (entry) => handleChange(QuarantineChange.Tried, entry),
  });
  let cancelSettle: Unsubscribe | undefined;

  /** Refuses the requests that wait or have not begun, so that they crash no more targets. */
  const refuseFollowed = (): void => {
    const refused = [...followed].filter(
      (request) =>
        !request.hasBegun &&
        !trials.isTrial(request) &&
        list.findEntries(request.customer, request.parts).length > 0,
    );
    refused.forEach((request) => request.refuse());
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
    watched.add(report.suspects.flatMap(({ parts }) => parts));
    ledger.listIncidents().forEach((incident) => list.countCrash(incident));
    scheduleExplanation();
    return true;
  };

  const recordBegun = (part: PartKey, atMs: number): void => {
    history.recordBegun(part, atMs);
    // An answer may decide between two parts that both may have caused a crash.
    if (watched.has(part)) scheduleExplanation();
    for (const entry of list.clearPart(part, atMs)) {
      watched.add(entry.parts);
      trials.clear(entry);
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

  const receiveNotice = (notice: QuarantineNotice): boolean => {
    const lastCrashMs = getMonotonicMs() - notice.ageMs;
    const isCleared = (part: PartKey): boolean =>
      (history.getBegunMs(part) ?? -Infinity) > lastCrashMs;
    const parts = notice.parts.filter((part) => !isCleared(part));
    // The other gateway has missed that answers began with them.
    watched.add(notice.parts.filter(isCleared));
    const added = parts.length > 0 ? list.addNotice({ ...notice, parts }) : undefined;
    if (added === undefined) return false;
    watched.add(parts);
    handleChange(QuarantineChange.Learned, added);
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
        admit: () => findEntries().every((entry) => trials.take(entry, request)),
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
          trials.end(request);
        },
      };
    },
    buildEvidence() {
      const now = getMonotonicMs();
      const watchedParts = watched.list();
      const entries = list.listEntries();
      if (entries.length === 0 && watchedParts.length === 0) return NO_EVIDENCE;
      const parts = new Set([...watchedParts, ...entries.flatMap((one) => one.parts)]);
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
