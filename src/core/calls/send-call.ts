import type { AdmissionRefusal } from '../admission/index.ts';
import type { ForwardCallRequest } from '../rpc/index.ts';
import type { ServiceResponse, ServiceResult } from '../targets/index.ts';
import { parseLoad, TargetFailureKind } from '../targets/index.ts';
import { Priority } from '../domain-types/index.ts';
import type { CallDependencies } from './types.ts';

/** Result of sending a call once to one target. */
export interface SentCall {
  vm: string;
  result: ServiceResult;
  refusal?: undefined;
}

/** Refusal of a call that admission gave no target. */
export interface RefusedCall {
  refusal: AdmissionRefusal;
}

/** Headers in which a target reports its state; they are removed before callers see the response. */
const TARGET_STATE_HEADERS = new Set(['x-instance-id', 'x-load', 'x-warm']);

function getHeader({ headers }: ServiceResponse, wantedName: string): string | undefined {
  return headers.find(({ name }) => name === wantedName)?.value;
}

function getPriority({ headers }: ForwardCallRequest): Priority {
  const text = headers.find(({ name }) => name === 'x-priority')?.value;
  return Object.values(Priority).find((priority) => priority === text) ?? Priority.Normal;
}

function reportObservation(
  dependencies: CallDependencies,
  vm: string,
  { response, failure }: ServiceResult,
): void {
  if (response === undefined) {
    // A call may simply take long, so a missing response does not indicate a failed target.
    const failed = failure.kind !== TargetFailureKind.Silent;
    if (failed) dependencies.handleObservation({ vm, failed });
    return;
  }
  const instanceId = getHeader(response, 'x-instance-id');
  const warm = getHeader(response, 'x-warm');
  const load = parseLoad(getHeader(response, 'x-load'));
  dependencies.handleObservation({
    vm,
    ...(instanceId !== undefined && { instanceId }),
    ...(warm !== undefined && { warm: warm !== 'false' }),
    ...(load !== undefined && { load }),
  });
}

function removeTargetStateHeaders(result: ServiceResult): ServiceResult {
  if (result.response === undefined) return result;
  const headers = result.response.headers.filter(({ name }) => !TARGET_STATE_HEADERS.has(name));
  return { response: { ...result.response, headers } };
}

/** Acquires a target from admission and sends the call to it once. */
export async function sendCall(
  dependencies: CallDependencies,
  call: ForwardCallRequest,
  excludedVms: ReadonlySet<string>,
  options: { idempotent: boolean; handleSendStarted?(vm: string): void },
): Promise<SentCall | RefusedCall> {
  const { customer, service, requestId, method, path, headers, body, timeoutMs } = call;
  const { ticket, placement, refusal } = await dependencies.source.acquire({
    customer,
    route: service,
    priority: getPriority(call),
    tokens: 1,
    excludedVms,
    listTargets: () => dependencies.listServiceTargets(customer, service),
  });
  if (refusal !== undefined) return { refusal };
  const { target } = placement;
  try {
    options.handleSendStarted?.(target.vm);
    const { idempotent } = options;
    const request = { requestId, method, path, headers, body, timeoutMs, idempotent };
    const result = await dependencies.services.sendCall(target, request);
    reportObservation(dependencies, target.vm, result);
    return { vm: target.vm, result: removeTargetStateHeaders(result) };
  } finally {
    placement.release();
    ticket.release(1);
  }
}
