import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AddressResponse } from '../addresses/index.ts';
import { createError, ErrorKind, formatProblem, isServingError } from '../errors/index.ts';
import { formatOrigin } from '../origin/index.ts';
import type { CallerOptions, EntryEndpoint } from './types.ts';

const HTTP_OK = 200;

/** Cache of the entry addresses of one caller. */
export interface AddressCache {
  /** Returns the cached addresses, or fetches them when their lifetime has ended. */
  fetchAddressAnswer(): Promise<AddressResponse>;
  /** Invalidates the cached addresses, for example after a refused connection. */
  invalidate(): void;
}

/** Creates an address cache, which queries the last known addresses before the seeds. */
export function createAddressCache(options: CallerOptions, dispatcher: Dispatcher): AddressCache {
  const { customer, availabilityZone, seeds, timers } = options;
  let cachedAnswer: AddressResponse | undefined;
  let validUntilMs = 0;
  let knownEndpoints: EntryEndpoint[] = [];

  const fetchFrom = async (endpoint: EntryEndpoint): Promise<AddressResponse> => {
    const query = new URLSearchParams({ customer });
    if (availabilityZone !== undefined) query.set('zone', availabilityZone);
    const url = `${formatOrigin(endpoint)}/v1/addresses?${query.toString()}`;
    const { statusCode, body } = await request(url, { dispatcher });
    if (statusCode !== HTTP_OK) throw new Error(`${url} responded with status ${statusCode}`);
    const fetched = (await body.json()) as AddressResponse;
    options.checkAddresses?.(fetched.addresses);
    return fetched;
  };

  const fetchFromFirstReachable = async (): Promise<AddressResponse> => {
    let problem = 'no seed is configured';
    for (const endpoint of [...knownEndpoints, ...seeds]) {
      try {
        return await fetchFrom(endpoint);
      } catch (error) {
        if (isServingError(error, ErrorKind.UsageInvalid)) throw error;
        problem = formatProblem(error);
      }
    }
    throw createError(ErrorKind.PeerUnreachable, { daemon: 'for addresses', problem });
  };

  return {
    async fetchAddressAnswer() {
      if (cachedAnswer !== undefined && timers.getMonotonicMs() < validUntilMs) return cachedAnswer;
      // Measured from before the request, so that the addresses expire here before they do at the
      // daemon that issued them.
      const requestedMs = timers.getMonotonicMs();
      cachedAnswer = await fetchFromFirstReachable();
      validUntilMs = requestedMs + cachedAnswer.lifetimeMs;
      knownEndpoints = cachedAnswer.addresses;
      return cachedAnswer;
    },
    invalidate() {
      cachedAnswer = undefined;
    },
  };
}
