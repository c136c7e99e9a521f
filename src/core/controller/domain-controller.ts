import type { Allocation, AllocationEvent } from '../allocation/index.ts';
import { applyAllocationEvent } from '../allocation/index.ts';
import { formatProblem } from '../errors/index.ts';
import type { PlanAction } from '../planning/index.ts';
import { PlanActionKind, planGroups } from '../planning/index.ts';
import type { HomeAction } from './home-writer.ts';
import { createHomeWriter } from './home-writer.ts';
import type { HeldTerm } from './lease-manager.ts';
import { createLeaseManager } from './lease-manager.ts';
import type { OrderSender } from './order-sender.ts';
import { createOrderSender } from './order-sender.ts';
import { recordAllocationEvent } from './record-event.ts';
import type { ClusterCache } from './cluster-cache.ts';
import type { PlanningInputBuilder } from './planning-input-builder.ts';
import { createPlanningInputBuilder } from './planning-input-builder.ts';
import type { ControllerContext, LeaseReport, VersionedAllocation } from './types.ts';
import type { VmMonitor } from './vm-monitor.ts';
import { createSequenceCounter, createVmMonitor } from './vm-monitor.ts';

/** Manages one fabric domain: competes for its lease and, as the holder, plans and acts. */
export interface DomainController {
  /** Runs one step: competes for the lease, or renews it, plans and carries out the plan. */
  runStep(mayAcquire: boolean): Promise<void>;
  isHeld(): boolean;
  /** Returns the lease report for the entry daemon; undefined when the lease is not held. */
  buildReport(): LeaseReport | undefined;
  getAllocation(): VersionedAllocation | undefined;
  release(): Promise<void>;
}

interface Term {
  epoch: number;
  vmMonitor: VmMonitor;
  orders: OrderSender;
  inputBuilder: PlanningInputBuilder;
}

/** Consecutive passes in one step, for example: claim a home, adopt or form, send the orders. */
const MAX_PASSES_PER_STEP = 4;

/** Creates the controller of one fabric domain. */
export function createDomainController(
  context: ControllerContext,
  clusterCache: ClusterCache,
  fabricDomain: string,
): DomainController {
  const { recorder, settings, timers, logger } = context;
  const leaseManager = createLeaseManager(context, fabricDomain);
  const homeWriter = createHomeWriter(context, clusterCache, fabricDomain);
  let term: Term | undefined;
  let observedMs = Number.NEGATIVE_INFINITY;
  let writtenMs = 0;
  let undecidedEvents: readonly AllocationEvent[] = [];

  const getHeld = (): HeldTerm | undefined => {
    leaseManager.checkEnd();
    return leaseManager.getTerm();
  };

  const maySendOrders = (epoch: number): boolean => {
    const held = getHeld();
    return held?.epoch === epoch && timers.getMonotonicMs() >= held.sendOrdersFromMs;
  };

  const getTerm = (epoch: number): Term => {
    if (term?.epoch === epoch) return term;
    const counter = createSequenceCounter();
    const vmMonitor = createVmMonitor(context, fabricDomain, counter);
    const orders = createOrderSender(context, fabricDomain, counter, () => maySendOrders(epoch));
    const inputBuilder = createPlanningInputBuilder(context, clusterCache, vmMonitor, orders);
    term = { epoch, vmMonitor, orders, inputBuilder };
    writtenMs = timers.getMonotonicMs();
    return term;
  };

  const recordEvents = (events: readonly AllocationEvent[]): void =>
    events.forEach((event) => recordAllocationEvent(recorder, fabricDomain, event));

  const write = async (events: readonly AllocationEvent[]): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const change = (allocation: Allocation): Allocation =>
      events.reduce(applyAllocationEvent, allocation);
    const isApplied = await leaseManager.write(change);
    undecidedEvents = leaseManager.needsReread() ? events : [];
    if (!isApplied) return;
    writtenMs = sentMs;
    recordEvents(events);
  };

  const writeHomes = async (actions: readonly HomeAction[], epoch: number): Promise<void> => {
    for (const action of actions.slice(0, settings.planning.maxHomeWritesPerStep)) {
      if (getHeld()?.epoch !== epoch) return;
      await homeWriter.writeHome(action, epoch);
    }
  };

  const sendOrders = (current: Term, actions: readonly PlanAction[]): void => {
    const vms = leaseManager.getAllocation()?.allocation.vms ?? {};
    for (const action of actions) {
      if (action.kind !== PlanActionKind.SendOrder) continue;
      const target = vms[action.vm];
      if (target !== undefined) current.orders.sendOrder(target, action);
    }
  };

  const listEvents = (actions: readonly PlanAction[]): AllocationEvent[] =>
    actions.flatMap((action) =>
      action.kind === PlanActionKind.ChangeAllocation ? [action.event] : [],
    );

  const listHomeActions = (actions: readonly PlanAction[]): HomeAction[] =>
    actions.flatMap((action) => ('name' in action ? [action] : []));

  const reportTooLarge = (actions: readonly PlanAction[]): void => {
    const found = actions.find((action) => action.kind === PlanActionKind.ReportTooLarge);
    if (found === undefined) return;
    logger.error('allocation is too large to adopt more VMs; split the fabric domain', {
      fabricDomain,
    });
  };

  /** Carries out a plan; returns whether another pass may lead to more actions. */
  const applyActions = async (current: Term, actions: readonly PlanAction[]): Promise<boolean> => {
    reportTooLarge(actions);
    sendOrders(current, actions);
    const events = listEvents(actions);
    const homeActions = listHomeActions(actions);
    const isRenewalDue = timers.getMonotonicMs() - writtenMs >= settings.lease.renewalMs;
    if (events.length > 0 || isRenewalDue) await write(events);
    await writeHomes(homeActions, current.epoch);
    return events.length + homeActions.length > 0;
  };

  /**
   * Reads the allocation again after a write with an unknown outcome. The renewal that follows
   * makes a delayed write fail, so that no plan is based on an allocation that may still change.
   */
  const resolveUndecidedWrite = async (): Promise<void> => {
    if (!leaseManager.needsReread()) return;
    await leaseManager.observe(false);
    if (leaseManager.needsReread()) return;
    if (leaseManager.isLastWriteCurrent()) recordEvents(undecidedEvents);
    await write([]);
  };

  /** Plans and acts once; returns whether another pass may lead to more actions. */
  const runPass = async (current: Term): Promise<boolean> => {
    const allocation = leaseManager.getAllocation()?.allocation;
    if (allocation === undefined || leaseManager.needsReread()) return false;
    if (getHeld()?.epoch !== current.epoch) return false;
    current.vmMonitor.queryVms(Object.values(allocation.vms));
    await current.inputBuilder.readPeerGroups(allocation);
    const input = current.inputBuilder.buildInput(allocation);
    return applyActions(current, input === undefined ? [] : planGroups(input));
  };

  const runHolderStep = async (held: HeldTerm): Promise<void> => {
    const current = getTerm(held.epoch);
    await resolveUndecidedWrite();
    let passes = 0;
    while (passes < MAX_PASSES_PER_STEP && (await runPass(current))) passes += 1;
  };

  const runCandidateStep = async (mayAcquire: boolean): Promise<void> => {
    const nowMs = timers.getMonotonicMs();
    if (!mayAcquire || nowMs - observedMs < settings.lease.observationMs) return;
    observedMs = nowMs;
    await leaseManager.observe(mayAcquire);
  };

  return {
    async runStep(mayAcquire) {
      try {
        const held = getHeld();
        await (held === undefined ? runCandidateStep(mayAcquire) : runHolderStep(held));
      } catch (error) {
        logger.error('step of the fabric domain failed', {
          fabricDomain,
          problem: formatProblem(error),
        });
      }
    },
    isHeld: () => getHeld() !== undefined,
    buildReport() {
      const held = getHeld();
      if (held === undefined) return undefined;
      const nowMs = timers.getMonotonicMs();
      // After a release, slots of the earlier holder remain valid, and a request that was sent just
      // before its slot expired may still be in transit; the lease margin covers that.
      const grantFromMs = held.acquiredMs + settings.slotLifetimeMs + settings.lease.marginMs;
      return {
        fabricDomain,
        epoch: held.epoch,
        validMs: Math.floor(held.endMs - nowMs),
        grantDelayMs: Math.max(0, Math.ceil(grantFromMs - nowMs)),
      };
    },
    getAllocation: () => leaseManager.getAllocation(),
    release: () => leaseManager.release(),
  };
}
