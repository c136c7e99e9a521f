import type { FastifyReply, FastifyRequest } from 'fastify';
import type { TimerService } from '../../core/timers/index.ts';
import type { FaultServer } from '../faults/index.ts';
import { StreamState } from './types.ts';
import type { EngineStream } from './types.ts';

const HTTP_OK = 200;

/** Options for writing a stream to one reader. */
export interface StreamWriterOptions {
  server: FaultServer;
  timers: TimerService;
  heartbeatMs: number;
  /** Response headers with the stream id, the group and the load. */
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

/** Writes a stream as server-sent events. A new reader of a stream disconnects the previous one. */
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
  if (!server.allowResponse(request)) return;
  let { offset } = options;
  let isOpen = true;

  // Under the `silent` fault the connection stays open, but nothing is written to it.
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

  const previousListener = stream.listener;
  stream.listener = handleChange;
  stream.readOffset = offset;
  // Called after the replacement, so that the previous reader sees it and closes its connection.
  previousListener?.();
  raw.on('drain', handleChange);
  raw.on('close', closeReader);
  if (!server.isSilenced(socket)) {
    raw.writeHead(HTTP_OK, { 'content-type': 'text/event-stream', ...options.headers });
    raw.flushHeaders();
  }
  handleChange();
}
