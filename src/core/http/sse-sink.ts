import type { ServerResponse } from 'node:http';
import type { AnswerSink } from '../streams/index.ts';
import type { TimerService } from '../timers/index.ts';
import { Outcome } from '../domain-types/index.ts';
import { formatCompletion } from './completion-format.ts';
import type { CompletionMetadata } from './completion-format.ts';
import { FLUSH_DEADLINE_MS } from './consts.ts';
import { buildErrorBody } from './replies.ts';

const HTTP_OK = 200;

/** Headers of a stream. They are sent first, so the final event reports the actual outcome. */
const STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-store',
  'x-outcome': Outcome.Done,
};

/** Creates a sink that writes an answer as server-sent events. */
export function createSseSink(
  raw: ServerResponse,
  metadata: CompletionMetadata,
  timers: TimerService,
): AnswerSink {
  let isEnded = false;

  const end = (text: string): void => {
    isEnded = true;
    raw.end(text);
    const cancel = timers.scheduleOnce(FLUSH_DEADLINE_MS, () => raw.destroy());
    raw.once('close', cancel);
  };

  raw.writeHead(HTTP_OK, { ...STREAM_HEADERS, 'x-request-id': metadata.requestId });
  raw.flushHeaders();
  return {
    writeTokens: (text, _, resumeToken) =>
      raw.write(
        `id: ${resumeToken}\ndata: ${JSON.stringify(formatCompletion(metadata, text))}\n\n`,
      ),
    writeHeartbeat: () => raw.write(': heartbeat\n\n'),
    writeEnd: (total) =>
      end(`data: ${JSON.stringify(formatCompletion(metadata, '', total))}\n\ndata: [DONE]\n\n`),
    writeError: (error) =>
      end(`event: error\ndata: ${JSON.stringify(buildErrorBody(error, Outcome.Unknown))}\n\n`),
    getBufferedBytes: () => raw.writableLength,
    close: () => raw.destroy(),
    subscribe({ handleDrain, handleClosed }) {
      raw.on('drain', handleDrain);
      raw.on('close', () => {
        if (!isEnded) handleClosed();
      });
    },
  };
}
