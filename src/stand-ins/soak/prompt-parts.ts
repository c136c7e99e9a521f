import type { SentRequest } from './observations.ts';
import { RequestClass } from './observations.ts';

/** Id of the part that crashes each engine that begins an answer on it. */
export const DEADLY_PART = 'dead00';
/** Number of parts that deadly and sound prompts share. */
const SHARED_PARTS = 6;

/** Builds the header with the parts of a prompt; none in runs without deadly requests. */
export function buildPromptParts(
  { requestClass, attemptId, isDeadly }: SentRequest,
  deadlyShare: number,
  random: () => number,
): Record<string, string> {
  if (deadlyShare === 0 || requestClass !== RequestClass.Stream) return {};
  const shared = `5a${Math.floor(random() * SHARED_PARTS)}:40`;
  const own = `${Buffer.from(attemptId).toString('hex').slice(-12)}:60`;
  const parts = isDeadly ? [`${DEADLY_PART}:30`, shared, own] : [shared, own];
  return { 'x-prompt-prefix': parts.join(',') };
}
