import { createError, ErrorKind } from '../errors/index.ts';
import type { ResumePoint } from './types.ts';

const SEPARATOR = '~';
const PART_COUNT = 7;
const NUMBER_PATTERN = /^\d{1,15}$/;

/** Encodes a resume point as an SSE `id`. */
export function encodeResumeToken(point: ResumePoint): string {
  const { vm, group, generation, streamId, attempt, firstOffset, offset } = point;
  return [vm, group, generation, streamId, attempt, firstOffset, offset]
    .map((part) => encodeURIComponent(part).replaceAll(SEPARATOR, '%7E'))
    .join(SEPARATOR);
}

function parseNumber(text: string | undefined): number {
  if (text !== undefined && NUMBER_PATTERN.test(text)) return Number(text);
  throw createError(ErrorKind.ResumeTokenInvalid, { problem: 'a number is missing or invalid' });
}

function decodeParts(token: string): string[] {
  try {
    return token.split(SEPARATOR).map(decodeURIComponent);
  } catch {
    throw createError(ErrorKind.ResumeTokenInvalid, { problem: 'an escape sequence is invalid' });
  }
}

/**
 * Decodes the `last-event-id` header of a caller. Throws a `ResumeTokenInvalid` error when it is
 * malformed.
 */
export function decodeResumeToken(token: string): ResumePoint {
  const parts = decodeParts(token);
  if (parts.length !== PART_COUNT) {
    const problem = `the token has ${parts.length} parts instead of ${PART_COUNT}`;
    throw createError(ErrorKind.ResumeTokenInvalid, { problem });
  }
  const [vm = '', group = '', generation, streamId = '', attempt = '', firstOffset, offset] = parts;
  return {
    vm,
    group,
    generation: parseNumber(generation),
    streamId,
    attempt,
    firstOffset: parseNumber(firstOffset),
    offset: parseNumber(offset),
  };
}

/** Returns the request id that is the prefix of an attempt id. */
export function getRequestIdOfAttempt(attempt: string): string {
  return attempt.slice(0, attempt.lastIndexOf(':'));
}

/** Builds an attempt id from the request id and an id that is unique for the attempt. */
export function buildAttemptId(request: string, id: string): string {
  return `${request}:${id}`;
}
