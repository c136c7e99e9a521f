import { Agent } from 'undici';
import { createAddressBook } from './address-book.ts';
import { runCompletion } from './run-completion.ts';
import { sendOrder } from './send-order.ts';
import type { Caller, CallerOptions } from './types.ts';

export type * from './types.ts';

const CONNECT_DEADLINE_MS = 2_000;

/** Creates a client that sends requests for one customer. */
export function createCaller(options: CallerOptions): Caller {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_DEADLINE_MS } });
  const book = createAddressBook(options, dispatcher);
  let sequence = 0;
  return {
    fetchAddresses: async () => (await book.fetchAnswer()).addresses,
    runCompletion: (wanted) => runCompletion(options, book, dispatcher, wanted),
    sendOrder(order) {
      sequence += 1;
      return sendOrder(options, book, dispatcher, order, sequence);
    },
    close: () => dispatcher.close(),
  };
}
