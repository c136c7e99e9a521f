import type { Logger } from '../logs/index.ts';
import type { StoreClient, StoreObject } from '../store/index.ts';
import { Consistency, StoreFailure, StoreKind } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Options of the registration. */
export interface RegistrationOptions {
  vmName: string;
  /** `host:port` that other gateways send their packets to. */
  peerAddress: string;
  store: StoreClient;
  timers: Pick<TimerService, 'waitFor'>;
  logger: Logger;
  /** Called with the peer addresses of the gateways registered in the store. */
  handleAddresses(addresses: readonly string[]): void;
  /**
   * Whether all gateways start now. Otherwise a list that is some seconds old suffices, as each
   * gateway in it knows the others.
   */
  isFirstStart: boolean;
}

/** Time between attempts to register. */
const REGISTER_RETRY_MS = 500;

function readPeerAddress(object: StoreObject): string | undefined {
  const { spec } = object;
  if (typeof spec !== 'object' || spec === null || !('address' in spec)) return undefined;
  return typeof spec.address === 'string' ? spec.address : undefined;
}

/** Writes this gateway's address to the store; returns a description of the failure, if any. */
async function writeAddress(options: RegistrationOptions): Promise<string | undefined> {
  const { vmName, peerAddress, store } = options;
  const entry = { address: peerAddress };
  const created = await store.createObject(StoreKind.Gateways, vmName, entry);
  if (created.kind === 'ok') return undefined;
  if (created.kind !== StoreFailure.Conflict) return created.problem;
  const known = await store.fetchObject(StoreKind.Gateways, vmName);
  if (known.kind !== 'ok') return known.problem;
  if (readPeerAddress(known.value) === peerAddress) return undefined;
  const { revision } = known.value;
  const replaced = await store.replaceObject(StoreKind.Gateways, vmName, revision, entry);
  return replaced.kind === 'ok' ? undefined : replaced.problem;
}

async function tryRegister(options: RegistrationOptions): Promise<string | undefined> {
  const problem = await writeAddress(options);
  const list = await options.store.listObjects(
    StoreKind.Gateways,
    options.isFirstStart ? Consistency.Current : Consistency.Stale,
  );
  if (list.kind !== 'ok') return list.problem;
  options.handleAddresses(list.value.objects.flatMap((object) => readPeerAddress(object) ?? []));
  return problem;
}

async function retryUntilDone(
  { timers, logger }: RegistrationOptions,
  signal: AbortSignal,
  attempt: () => Promise<string | undefined>,
): Promise<void> {
  while (!signal.aborted) {
    const problem = await attempt();
    if (problem === undefined) return;
    logger.warn('failed to register the gateway; retrying', { problem });
    await timers.waitFor(REGISTER_RETRY_MS, signal);
  }
}

/** Registers this gateway and lists the others once; retries until both have succeeded. */
export function registerGateway(options: RegistrationOptions, signal: AbortSignal): Promise<void> {
  return retryUntilDone(options, signal, () => tryRegister(options));
}

/**
 * Registers this gateway again after the store may have lost its registration. The others are not
 * listed: they are known from their packets, and the list may name gateways that have left since.
 */
export function restoreRegistration(
  options: RegistrationOptions,
  signal: AbortSignal,
): Promise<void> {
  return retryUntilDone(options, signal, () => writeAddress(options));
}
