import { createError, ErrorKind, formatProblem } from '../errors/index.ts';
import type { CallResult, ForwardCallRequest, LookupCallRequest } from '../rpc/index.ts';
import type { CallLedger } from './call-ledger.ts';
import { IdStatus } from './call-ledger.ts';
import type { CallOwner } from './call-owner.ts';
import { FORWARD_MARGIN_MS, LOOKUP_DEADLINE_MS } from './consts.ts';
import { parseRequestId } from './request-id.ts';
import { buildUnknown } from './results.ts';
import type { CallOwners, CallParts } from './types.ts';

/** What the router needs. */
export interface CallRouterOptions {
  parts: Pick<CallParts, 'timers' | 'events' | 'metrics'>;
  ledger: CallLedger;
  owner: CallOwner;
  owners: CallOwners;
}

/** Brings non-idempotent calls to the daemon that owns their id. */
export interface CallRouter {
  /** Runs a call of a caller here or at its owner. */
  runCall(call: ForwardCallRequest): Promise<CallResult>;
  /** Settles the outcome of a call here or at its owner. */
  settleCall(requestId: string): Promise<CallResult>;
  /** Handler of the `ForwardCall` call between daemons; never forwards again. */
  handleForwardCall(call: ForwardCallRequest): Promise<CallResult>;
  /** Handler of the `LookupCall` call between daemons. */
  handleLookupCall(request: LookupCallRequest): Promise<CallResult>;
}

/** Creates the router of a daemon. */
export function createCallRouter(options: CallRouterOptions): CallRouter {
  const { parts, ledger, owner, owners } = options;

  /** A frozen owner must not hold the caller longer than the call may take. */
  const waitAtMost = async (
    deadlineMs: number,
    run: () => Promise<CallResult>,
  ): Promise<CallResult> => {
    const abort = new AbortController();
    const late = parts.timers.waitFor(deadlineMs, abort.signal).then(() => {
      throw new Error(`no answer within ${deadlineMs} ms`);
    });
    // The loser of the race must not be reported as an unhandled rejection.
    late.catch(() => undefined);
    try {
      return await Promise.race([run(), late]);
    } finally {
      abort.abort();
    }
  };

  /** Asks another daemon; it may have run the call even when no answer comes. */
  const askOwner = async (
    requestId: string,
    deadlineMs: number,
    ask: (name: string, incarnation: string) => Promise<CallResult>,
  ): Promise<CallResult> => {
    const issued = parseRequestId(requestId);
    const name = issued?.owner ?? '';
    parts.events.record('calls', 'forwarded', { request: requestId, owner: name });
    try {
      return await waitAtMost(deadlineMs, () => ask(name, issued?.incarnation ?? ''));
    } catch (error) {
      const problem = formatProblem(error);
      parts.metrics.increment('calls.owner-unreachable');
      parts.events.record('calls', 'owner-unreachable', { request: requestId, problem });
      const details = { owner: name, requestId };
      const { message } = createError(ErrorKind.OwnerUnreachable, details, error);
      return buildUnknown(requestId, message);
    }
  };

  const checkIssued = (requestId: string): IdStatus => {
    const status = ledger.checkId(requestId);
    if (status === IdStatus.Invalid) throw createError(ErrorKind.RequestIdNotIssued, { requestId });
    return status;
  };

  return {
    async runCall(call) {
      const { requestId, timeoutMs } = call;
      if (checkIssued(requestId) !== IdStatus.Foreign) return owner.runCall(call);
      return askOwner(requestId, timeoutMs + FORWARD_MARGIN_MS, (name, incarnation) =>
        owners.forwardCall(name, incarnation, call),
      );
    },
    async settleCall(requestId) {
      if (checkIssued(requestId) !== IdStatus.Foreign) return owner.settleCall(requestId);
      return askOwner(requestId, LOOKUP_DEADLINE_MS, (name, incarnation) =>
        owners.lookupCall(name, incarnation, requestId),
      );
    },
    handleForwardCall: (call) => owner.runCall(call),
    handleLookupCall: ({ requestId }) => Promise.resolve(owner.settleCall(requestId)),
  };
}
