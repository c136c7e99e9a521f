import type { FastifyReply, FastifyRequest } from 'fastify';
import type { TimerService } from '../../core/timers/index.ts';
import type { FaultServer } from '../faults/index.ts';
import { StreamState } from './types.ts';
import type { EngineStream } from './types.ts';

const HTTP_OK = 200;

/** How a stream is written to one reader. */
export interface StreamWriterOptions {
  server: FaultServer;
  timers: TimerService;
  heartbeatMs: number;
  /** Answer headers that name the stream, the group and the load. */
  headers: Record<string, string>;
  /** Offset of the first token to write. */
  offset: number;
}

function formatToken(stream: EngineStream, offset: number): string {
  const { requestId, attemptId } = stream.request;
  const text = stream.getText(offset);
  const data = JSON.stringify({ request: requestId, attempt: attemptId, offset, text });
  return `id: ${offset}\ndata: ${data}\n\n`;
}

function formatEnd(stream: EngineStream): string {
  const { requestId, attemptId } = stream.request;
  const data = JSON.stringify({ request: requestId, attempt: attemptId, total: stream.endOffset });
  return `event: end\ndata: ${data}\n\n`;
}

/** Writes a stream as server-sent events; the newest reader of a stream replaces the one before. */
export async function writeStream(
  request: FastifyRequest,
  reply: FastifyReply,
  stream: EngineStream,
  options: StreamWriterOptions,
): Promise<void> {
  const { server, timers } = options;
  const { raw } = reply;
  const { socket } = request.raw;
  reply.hijack();
  await server.waitWhileFrozen();
  if (!server.takeAnswer(request)) return;
  let { offset } = options;
  let isOpen = true;

  // A silent connection stays open, but nothing reaches the reader.
  const writeText = (text: string): void => {
    if (!server.isSilenced(socket)) raw.write(text);
  };

  const stopHeartbeat = timers.subscribe(options.heartbeatMs, () => {
    if (server.faults.frozen) return;
    writeText(': heartbeat\n\n');
    handleChange();
  });

  function closeReader(): void {
    if (!isOpen) return;
    isOpen = false;
    stopHeartbeat();
    if (stream.listener === handleChange) {
      stream.listener = undefined;
      stream.readOffset = undefined;
    }
  }

  function handleChange(): void {
    if (!isOpen || server.faults.frozen) return;
    if (stream.listener !== handleChange || stream.state === StreamState.Broken) {
      closeReader();
      socket.destroy();
      return;
    }
    while (offset < stream.endOffset && !raw.writableNeedDrain) {
      writeText(formatToken(stream, offset));
      offset++;
    }
    stream.readOffset = offset;
    if (offset < stream.endOffset) return;
    if (stream.state === StreamState.Finished) writeText(formatEnd(stream));
    const isEnded = stream.state === StreamState.Finished || stream.state === StreamState.Cancelled;
    if (!isEnded) return;
    closeReader();
    if (!server.isSilenced(socket)) raw.end();
  }

  const earlier = stream.listener;
  stream.listener = handleChange;
  stream.readOffset = offset;
  // The reader before notices that it was replaced.
  earlier?.();
  raw.on('drain', handleChange);
  raw.on('close', closeReader);
  if (!server.isSilenced(socket)) {
    raw.writeHead(HTTP_OK, { 'content-type': 'text/event-stream', ...options.headers });
    raw.flushHeaders();
  }
  handleChange();
}
