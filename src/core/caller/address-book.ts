import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AddressResponse } from '../addresses/index.ts';
import { createError, ErrorKind, formatProblem, isServingError } from '../errors/index.ts';
import { formatOrigin } from '../origin/index.ts';
import type { CallerOptions, CallerSeed } from './types.ts';

const HTTP_OK = 200;

/** Cache of the entry addresses of one caller. */
export interface AddressBook {
  /** Returns the cached addresses, or fetches them when their lifetime has ended. */
  fetchAnswer(): Promise<AddressResponse>;
  /** Invalidates the cached addresses, for example after a refused connection. */
  reset(): void;
}

/** Creates an address cache, which queries the last known addresses before the seeds. */
export function createAddressBook(options: CallerOptions, dispatcher: Dispatcher): AddressBook {
  const { customer, availabilityZone, seeds, timers } = options;
  let answer: AddressResponse | undefined;
  let validUntilMs = 0;
  let known: CallerSeed[] = [];

  const fetchFrom = async (seed: CallerSeed): Promise<AddressResponse> => {
    const query = new URLSearchParams({ customer });
    if (availabilityZone !== undefined) query.set('zone', availabilityZone);
    const url = `${formatOrigin(seed)}/v1/addresses?${query.toString()}`;
    const { statusCode, body } = await request(url, { dispatcher });
    if (statusCode !== HTTP_OK) throw new Error(`${url} responded with status ${statusCode}`);
    const fetched = (await body.json()) as AddressResponse;
    options.checkAddresses?.(fetched.addresses);
    return fetched;
  };

  const fetchFirst = async (): Promise<AddressResponse> => {
    let problem = 'no seed is configured';
    for (const seed of [...known, ...seeds]) {
      try {
        return await fetchFrom(seed);
      } catch (error) {
        if (isServingError(error, ErrorKind.UsageInvalid)) throw error;
        problem = formatProblem(error);
      }
    }
    throw createError(ErrorKind.PeerUnreachable, { daemon: 'for addresses', problem });
  };

  return {
    async fetchAnswer() {
      if (answer !== undefined && timers.getMonotonicMs() < validUntilMs) return answer;
      // Measured from before the request, so that the addresses expire here before they do at the
      // daemon that issued them.
      const askedMs = timers.getMonotonicMs();
      answer = await fetchFirst();
      validUntilMs = askedMs + answer.lifetimeMs;
      known = answer.addresses;
      return answer;
    },
    reset() {
      answer = undefined;
    },
  };
}
