import { MAX_EVENT_CHARACTERS } from './consts.ts';

/** One event of a `text/event-stream` body. */
export interface SseEvent {
  id: string;
  event: string;
  data: string;
}

/** Incremental parser that splits a `text/event-stream` body into events and skips comments. */
export interface SseParser {
  /** Returns the events that this chunk completes. Throws when an event exceeds the size limit. */
  readChunk(chunk: Uint8Array): SseEvent[];
}

interface Field {
  name: string;
  value: string;
}

function parseField(line: string): Field | undefined {
  const colon = line.indexOf(':');
  if (colon === 0) return undefined;
  if (colon < 0) return { name: line, value: '' };
  return { name: line.slice(0, colon), value: line.slice(colon + 1).replace(/^ /, '') };
}

function createEmptyEvent(): SseEvent {
  return { id: '', event: 'message', data: '' };
}

/** Creates a parser for one response body. */
export function createSseParser(): SseParser {
  const decoder = new TextDecoder();
  let partialLine = '';
  let current = createEmptyEvent();
  let hasData = false;

  const applyField = ({ name, value }: Field): void => {
    if (name === 'id') current.id = value;
    if (name === 'event') current.event = value;
    if (name !== 'data') return;
    current.data = hasData ? `${current.data}\n${value}` : value;
    hasData = true;
  };

  const takeEvent = (): SseEvent | undefined => {
    const event = hasData ? current : undefined;
    current = createEmptyEvent();
    hasData = false;
    return event;
  };

  const readLine = (line: string): SseEvent | undefined => {
    if (line === '') return takeEvent();
    const field = parseField(line);
    if (field !== undefined) applyField(field);
    return undefined;
  };

  return {
    readChunk(chunk) {
      const lines = (partialLine + decoder.decode(chunk, { stream: true })).split('\n');
      partialLine = lines.pop() ?? '';
      if (partialLine.length + current.data.length > MAX_EVENT_CHARACTERS) {
        throw new Error(`an event is longer than ${MAX_EVENT_CHARACTERS} characters`);
      }
      return lines
        .map((line) => readLine(line.replace(/\r$/, '')))
        .filter((event) => event !== undefined);
    },
  };
}
