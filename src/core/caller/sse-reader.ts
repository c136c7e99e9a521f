/** A server-sent event of a completion stream. */
export interface ServerSentEvent {
  /** Resume token of the event; empty when it has none. */
  id: string;
  event: string;
  data: string;
}

function parseEvent(block: string): ServerSentEvent | undefined {
  const fields: ServerSentEvent = { id: '', event: 'message', data: '' };
  block.split('\n').forEach((line) => {
    const [name, ...rest] = line.split(': ');
    const value = rest.join(': ');
    if (name === 'id') fields.id = value;
    if (name === 'event') fields.event = value;
    if (name === 'data') fields.data += value;
  });
  return fields.data === '' ? undefined : fields;
}

/** Parses a stream of server-sent events; skips comments, which are heartbeats. */
export async function* readEvents(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let buffer = '';
  for await (const chunk of chunks) {
    buffer += decoder.decode(chunk, { stream: true });
    const blocks = buffer.split('\n\n');
    buffer = blocks.pop() ?? '';
    for (const block of blocks) {
      const event = parseEvent(block);
      if (event !== undefined) yield event;
    }
  }
}
