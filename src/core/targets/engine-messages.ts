import type { IncomingHttpHeaders } from 'node:http';
import { z } from 'zod';
import type { TargetLoad } from '../domain-types/index.ts';
import type { SseEvent } from './sse-parser.ts';
import type { EndEvent, EngineEndpoint, EngineStreamHeaders, TokenEvent } from './types.ts';

const countSchema = z.number().int().min(0);

const loadSchema = z.object({
  running: countSchema,
  queued: countSchema,
  heldTokens: countSchema,
  capacityTokens: countSchema,
  coldLimit: countSchema,
  ageMs: z.number().min(0).default(0),
});

const tokenSchema = z.object({
  request: z.string(),
  attempt: z.string(),
  offset: countSchema,
  text: z.string(),
});

const endSchema = z.object({ request: z.string(), attempt: z.string(), total: countSchema });

/** A message in an engine stream: a token or the end event. */
export type EngineMessage =
  { token: TokenEvent; end?: undefined } | { end: EndEvent; token?: undefined };

/** Parses the `x-load` header. Returns undefined when it is absent or invalid. */
export function parseLoad(text: string | undefined): TargetLoad | undefined {
  if (text === undefined) return undefined;
  try {
    return loadSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Tells whether the response headers name the expected group and generation. */
export function hasExpectedGeneration(
  headers: IncomingHttpHeaders,
  endpoint: EngineEndpoint,
): boolean {
  const group = readHeader(headers, 'x-group');
  const generation = readHeader(headers, 'x-generation');
  return group === endpoint.group && generation === String(endpoint.generation);
}

/** Parses the response headers of an engine. Returns undefined when there is no stream id. */
export function parseStreamHeaders(headers: IncomingHttpHeaders): EngineStreamHeaders | undefined {
  const streamId = readHeader(headers, 'x-stream-id');
  if (streamId === undefined || streamId === '') return undefined;
  return {
    streamId,
    instanceId: readHeader(headers, 'x-instance-id') ?? '',
    warm: readHeader(headers, 'x-warm') !== 'false',
    load: parseLoad(readHeader(headers, 'x-load')),
  };
}

/** Parses an event from an engine. Throws when it does not follow the protocol. */
export function parseMessage(event: SseEvent): EngineMessage {
  const value: unknown = JSON.parse(event.data);
  if (event.event === 'end') return { end: endSchema.parse(value) };
  return { token: tokenSchema.parse(value) };
}
