import type { Violation } from './checks.ts';
import { Rule } from './checks.ts';
import type { Observations } from './observations.ts';
import { RequestClass, ResponseEnd } from './observations.ts';

/** The platform's gate: refused and failed requests are at most 60 % of all. */
const MIN_SERVED_SHARE = 0.4;
/** The platform's bound on starvation: a kind is served a quarter as often as all, at least. */
const STARVED_FACTOR = 0.25;
const MIN_SAMPLE = 20;
const SOUND_CLASSES = [RequestClass.Stream, RequestClass.Order, RequestClass.Read];

/** Checks that slow peers leave no other caller waiting; a paused process answers nobody. */
export function findHangingViolations(observations: Observations): Violation[] {
  const { requests, pauses, hangingRequests } = observations;
  const violations: Violation[] = [];
  for (const { attemptId, waitedMs } of hangingRequests) {
    const request = requests.get(attemptId);
    const wasPaused = pauses.some(
      ({ gateway, fromMs, toMs }) =>
        request?.gateway === gateway && fromMs < request.sentMs + waitedMs && toMs > request.sentMs,
    );
    if (wasPaused) continue;
    const detail = `${attemptId} at ${request?.gateway ?? '?'} got no answer in ${Math.round(waitedMs)} ms`;
    violations.push({ rule: Rule.AnsweredInTime, detail });
  }
  return violations;
}

/**
 * Checks that callers are served beside slow peers. Holds for runs without other faults, as these may
 * stop all gateways while the store is down.
 */
export function findStarvationViolations(observations: Observations): Violation[] {
  const { requests, responses } = observations;
  const served = new Set(
    responses
      .filter(({ status, end }) => status < 300 && end === ResponseEnd.Complete)
      .map(({ attemptId }) => attemptId),
  );
  const sound = [...requests.values()].filter((one) => SOUND_CLASSES.includes(one.requestClass));
  const measureShare = (sent: typeof sound): number =>
    sent.filter(({ attemptId }) => served.has(attemptId)).length / sent.length;
  const violations: Violation[] = [];

  const share = measureShare(sound);
  if (sound.length >= MIN_SAMPLE && share < MIN_SERVED_SHARE) {
    const detail = `${Math.round(share * sound.length)} of ${sound.length} requests were served`;
    violations.push({ rule: Rule.SoundCallersServed, detail });
  }
  for (const requestClass of SOUND_CLASSES) {
    const sent = sound.filter((one) => one.requestClass === requestClass);
    const classShare = measureShare(sent);
    if (sent.length < MIN_SAMPLE || classShare >= STARVED_FACTOR * share) continue;
    const detail = `${Math.round(classShare * sent.length)} of ${sent.length} requests of class ${requestClass} were served, beside ${Math.round(share * sound.length)} of ${sound.length} of all`;
    violations.push({ rule: Rule.SoundCallersServed, detail });
  }
  return violations;
}
