import { Transform } from 'node:stream';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { createError, ErrorKind } from '../errors/index.ts';
import type { MemoryAccount, MemoryBudget } from '../memory/index.ts';
import { MAX_BODY_BYTES } from './consts.ts';

/** Passes the bytes of a body on as long as the budget has room for them. */
function createBodyLimiter(account: MemoryAccount): Transform {
  return new Transform({
    transform(chunk: Buffer, _encoding, done) {
      if (account.tryReserve(chunk.length)) done(null, chunk);
      else done(createError(ErrorKind.MemoryShort, { bytes: chunk.length }));
    },
  });
}

/**
 * Refuses requests whose bodies do not fit into a budget: those with a length before they are read,
 * others as soon as they do not. The bytes of a body are held until its response has ended.
 */
export function addBodyBudget(
  app: FastifyInstance,
  budget: Pick<MemoryBudget, 'openAccount'>,
): void {
  const accounts = new WeakMap<FastifyRequest, MemoryAccount>();

  app.addHook('onRequest', (request, reply, done) => {
    const declared = Number(request.headers['content-length'] ?? 0);
    // A body above the limit is refused before it is read.
    const bytes = declared <= MAX_BODY_BYTES ? declared : 0;
    const account = budget.openAccount(bytes);
    if (account === undefined) {
      // The rest of the body is not read, so that the connection cannot be used again.
      void reply.header('connection', 'close');
      done(createError(ErrorKind.MemoryShort, { bytes }));
      return;
    }
    accounts.set(request, account);
    reply.raw.once('close', account.close);
    done();
  });

  app.addHook('preParsing', (request, _reply, payload, done) => {
    const account = accounts.get(request);
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    if (account === undefined || !isChunked) done(null, payload);
    else done(null, payload.pipe(createBodyLimiter(account)));
  });
}
