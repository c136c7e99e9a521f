import { Agent } from 'undici';
import { createAddressCache } from './address-cache.ts';
import { runCompletion } from './run-completion.ts';
import { sendNonIdempotentCall } from './send-non-idempotent-call.ts';
import type { Caller, CallerOptions } from './types.ts';

export type * from './types.ts';

const CONNECT_DEADLINE_MS = 2_000;

/** Creates a client that sends requests for one customer. */
export function createCaller(options: CallerOptions): Caller {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_DEADLINE_MS } });
  const addressCache = createAddressCache(options, dispatcher);
  let sequence = 0;
  return {
    fetchAddresses: async () => (await addressCache.fetchAddressAnswer()).addresses,
    runCompletion: (completion) => runCompletion(options, addressCache, dispatcher, completion),
    sendNonIdempotentCall(call) {
      sequence += 1;
      return sendNonIdempotentCall(options, addressCache, dispatcher, call, sequence);
    },
    close: () => dispatcher.close(),
  };
}
