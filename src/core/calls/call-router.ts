import { createError, ErrorKind, formatProblem } from '../errors/index.ts';
import type { CallResult, ForwardCallRequest, LookupCallRequest } from '../rpc/index.ts';
import type { CallLedger } from './call-ledger.ts';
import { RequestIdStatus } from './call-ledger.ts';
import type { CallOwner } from './call-owner.ts';
import { FORWARD_MARGIN_MS, LOOKUP_DEADLINE_MS } from './consts.ts';
import { parseRequestId } from './request-id.ts';
import { buildUnknownResult } from './results.ts';
import type { CallOwnerClient, CallDependencies } from './types.ts';

/** Options of `createCallRouter`. */
export interface CallRouterOptions {
  dependencies: Pick<CallDependencies, 'timers' | 'events' | 'metrics'>;
  ledger: CallLedger;
  owner: CallOwner;
  ownerClient: CallOwnerClient;
}

/** Routes non-idempotent calls to the daemon that issued their request id. */
export interface CallRouter {
  /** Runs a call here if this daemon issued the id; otherwise forwards it to the owner. */
  runCall(call: ForwardCallRequest): Promise<CallResult>;
  /** Looks up the outcome of a call here or at its owner; an id without a record is closed. */
  lookUpCall(requestId: string): Promise<CallResult>;
  /** Handles the `ForwardCall` RPC of another daemon; never forwards again. */
  handleForwardCall(call: ForwardCallRequest): Promise<CallResult>;
  /** Handles the `LookupCall` RPC of another daemon. */
  handleLookupCall(request: LookupCallRequest): Promise<CallResult>;
}

/** Creates the router of a daemon. */
export function createCallRouter(options: CallRouterOptions): CallRouter {
  const { dependencies, ledger, owner, ownerClient } = options;

  /** Rejects after the deadline, so that an owner that hangs does not block the caller. */
  const runWithDeadline = async (
    deadlineMs: number,
    run: () => Promise<CallResult>,
  ): Promise<CallResult> => {
    const abort = new AbortController();
    const timeout = dependencies.timers.waitFor(deadlineMs, abort.signal).then(() => {
      throw new Error(`no response within ${deadlineMs} ms`);
    });
    // Prevents an unhandled rejection when `run` settles first.
    timeout.catch(() => undefined);
    try {
      return await Promise.race([run(), timeout]);
    } finally {
      abort.abort();
    }
  };

  /** Sends an RPC to the owner; a failure yields `unknown`, because the call may have run there. */
  const askOwner = async (
    requestId: string,
    deadlineMs: number,
    sendRpc: (name: string, incarnation: string) => Promise<CallResult>,
  ): Promise<CallResult> => {
    const issued = parseRequestId(requestId);
    const name = issued?.owner ?? '';
    dependencies.events.record('calls', 'forwarded', { request: requestId, owner: name });
    try {
      return await runWithDeadline(deadlineMs, () => sendRpc(name, issued?.incarnation ?? ''));
    } catch (error) {
      const problem = formatProblem(error);
      dependencies.metrics.increment('calls.owner-unreachable');
      dependencies.events.record('calls', 'owner-unreachable', { request: requestId, problem });
      const details = { owner: name, requestId };
      const { message } = createError(ErrorKind.OwnerUnreachable, details, error);
      return buildUnknownResult(requestId, message);
    }
  };

  const checkIssued = (requestId: string): RequestIdStatus => {
    const status = ledger.checkId(requestId);
    if (status === RequestIdStatus.Invalid)
      throw createError(ErrorKind.RequestIdNotIssued, { requestId });
    return status;
  };

  return {
    async runCall(call) {
      const { requestId, timeoutMs } = call;
      if (checkIssued(requestId) !== RequestIdStatus.Foreign) return owner.runCall(call);
      return askOwner(requestId, timeoutMs + FORWARD_MARGIN_MS, (name, incarnation) =>
        ownerClient.forwardCall(name, incarnation, call),
      );
    },
    async lookUpCall(requestId) {
      if (checkIssued(requestId) !== RequestIdStatus.Foreign) return owner.lookUpCall(requestId);
      return askOwner(requestId, LOOKUP_DEADLINE_MS, (name, incarnation) =>
        ownerClient.lookupCall(name, incarnation, requestId),
      );
    },
    handleForwardCall: (call) => owner.runCall(call),
    handleLookupCall: ({ requestId }) => Promise.resolve(owner.lookUpCall(requestId)),
  };
}
