import type { FastifyReply } from 'fastify';
import type { AnswerSink } from '../streams/index.ts';
import { Outcome } from '../domain-types/index.ts';
import { formatCompletion } from './completion-format.ts';
import type { CompletionMetadata } from './completion-format.ts';
import { sendError } from './replies.ts';

/** Creates a sink that collects the answer and sends it as a single JSON response. */
export function createJsonSink(reply: FastifyReply, metadata: CompletionMetadata): AnswerSink {
  const texts: string[] = [];
  let isEnded = false;
  return {
    writeTokens(text) {
      texts.push(text);
      return true;
    },
    // A JSON response can't be sent in parts, so only the caller's own timeout limits the wait.
    writeHeartbeat: () => true,
    writeEnd(total) {
      isEnded = true;
      void reply
        .header('x-outcome', Outcome.Done)
        .header('x-request-id', metadata.requestId)
        .send(formatCompletion(metadata, texts.join(''), total));
    },
    writeError(error) {
      isEnded = true;
      void sendError(reply, error, Outcome.Unknown);
    },
    getBufferedBytes: () => 0,
    close: () => reply.raw.destroy(),
    subscribe({ handleClosed }) {
      reply.raw.on('close', () => {
        if (!isEnded) handleClosed();
      });
    },
  };
}
