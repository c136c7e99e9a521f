import { create } from '@bufbuild/protobuf';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { createError, ErrorKind } from '../errors/index.ts';
import { ForwardCallRequestSchema } from '../rpc/index.ts';
import type { ForwardCallRequest } from '../rpc/index.ts';
import { CALL_TIMEOUT_MS } from './consts.ts';
import { readCallerHeaders } from './headers.ts';
import { sendCallResult } from './replies.ts';
import type { CallerServerOptions } from './types.ts';

const SERVICE_PATH_PREFIX = '/v1/services/';
const FORWARDED_METHODS = ['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'] as const;

/** Splits the raw URL, so that percent-encoding reaches the service unchanged. */
function parseServicePath(url: string): Pick<ForwardCallRequest, 'service' | 'path'> {
  const rest = url.slice(SERVICE_PATH_PREFIX.length);
  const end = rest.search(/[/?]/);
  const service = end < 0 ? rest : rest.slice(0, end);
  const path = end < 0 ? '' : rest.slice(end);
  return { service, path: path.startsWith('/') ? path : `/${path}` };
}

function buildCall(
  request: FastifyRequest,
  customer: string,
  requestId: string,
): ForwardCallRequest {
  const headers = Object.entries(request.headers).flatMap(([name, value]) =>
    [value ?? []].flat().map((text) => ({ name, value: text })),
  );
  const body = Buffer.isBuffer(request.body) ? Uint8Array.from(request.body) : new Uint8Array();
  return create(ForwardCallRequestSchema, {
    requestId,
    customer,
    ...parseServicePath(request.url),
    method: request.method,
    headers,
    body,
    timeoutMs: CALL_TIMEOUT_MS,
  });
}

/** Adds `ANY /v1/services/{service}/*`. */
export function addServiceRoutes(app: FastifyInstance, options: CallerServerOptions): void {
  const { events, router, idempotentCalls } = options;
  // Request bodies are forwarded to the service without parsing.
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_, body, done) => done(null, body));

  app.route({
    method: [...FORWARDED_METHODS],
    url: `${SERVICE_PATH_PREFIX}*`,
    async handler(request, reply) {
      const { customer, requestId, isIdempotent } = readCallerHeaders(request.headers);
      if (!isIdempotent && requestId === undefined) {
        throw createError(ErrorKind.RequestIdNotIssued, { requestId: '' });
      }
      const call = buildCall(request, customer, requestId ?? options.createRequestId());
      const details = { request: call.requestId, customer, idempotent: isIdempotent };
      events.record('http', 'call-received', details);
      const result = await (isIdempotent ? idempotentCalls : router).runCall(call);
      return sendCallResult(reply, result);
    },
  });
}
