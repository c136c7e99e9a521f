import type { IncomingHttpHeaders } from 'node:http';
import { createError, ErrorKind } from '../errors/index.ts';
import { Priority } from '../domain-types/index.ts';
import type { CallerHeaders } from './types.ts';

const REQUEST_ID_PATTERN = /^[\w.:-]{1,160}$/;
const CUSTOMER_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function checkHeader(
  headers: IncomingHttpHeaders,
  name: string,
  pattern: RegExp,
): string | undefined {
  const value = readHeader(headers, name);
  if (value === undefined || pattern.test(value)) return value;
  const problem = `does not match ${pattern.source}`;
  throw createError(ErrorKind.RequestInvalid, { path: `header ${name}`, problem });
}

/** Reads and validates the headers of a caller's request; throws `RequestInvalid`. */
export function readCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders {
  const customer = checkHeader(headers, 'x-customer', CUSTOMER_PATTERN);
  if (customer === undefined) {
    const details = { path: 'header x-customer', problem: 'is missing' };
    throw createError(ErrorKind.RequestInvalid, details);
  }
  return {
    customer,
    requestId: checkHeader(headers, 'x-request-id', REQUEST_ID_PATTERN),
    priority: readHeader(headers, 'x-priority'),
    isIdempotent: readHeader(headers, 'x-idempotent') !== 'false',
    lastEventId: readHeader(headers, 'last-event-id'),
  };
}

/** Returns the priority of a request; a missing or unknown value counts as normal. */
export function getPriority({ priority }: Pick<CallerHeaders, 'priority'>): Priority {
  return Object.values(Priority).find((known) => known === priority) ?? Priority.Normal;
}
