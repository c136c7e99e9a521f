import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import { StoreFault } from '../store/index.ts';
import type { SoakGateway } from './gateways.ts';
import type { Observations, PlannedStop } from './observations.ts';
import { pauseGateway } from './pause-gateway.ts';
import type { PlannedFault } from './plan-faults.ts';
import { FaultKind } from './plan-faults.ts';
import { restartGateway } from './restart-gateway.ts';
import type { InjectedFaults } from './schedule-faults.ts';
import { scheduleFaults } from './schedule-faults.ts';
import type { SoakEnvironment } from './soak-environment.ts';
import { ProxyMode } from './tcp-proxy.ts';

/** The planned faults and the parts of the system that they act on. */
export interface FaultInjectionOptions {
  faults: readonly PlannedFault[];
  timers: TimerService;
  store: StandInStore;
  environment: SoakEnvironment;
  gateways: readonly SoakGateway[];
  observations: Observations;
  /** Sends SIGHUP to a gateway; default: at any time of its process. */
  reload?(gateway: SoakGateway): void;
}

/** Handle for the faults of a run that stop gateways, or are told to by other faults. */
export interface InjectedGatewayFaults extends InjectedFaults {
  /** Runs a fault on a gateway, unless another one pauses, stops or kills it at the time. */
  runOnGateway(
    gateway: SoakGateway | undefined,
    run: (gateway: SoakGateway) => Promise<void>,
  ): Promise<void>;
}

const STORE_FAULTS = Object.values(StoreFault).filter((fault) => fault !== StoreFault.None);
const LINK_FAULTS = Object.values(ProxyMode).filter((mode) => mode !== ProxyMode.Pass);
/** Faults that can break a response themselves, so that a planned stop may not be the cause. */
const DISRUPTIVE_FAULTS: ReadonlySet<FaultKind> = new Set([
  FaultKind.PauseGateway,
  FaultKind.KillGateway,
  FaultKind.BreakTargetLink,
  FaultKind.CrashTarget,
  FaultKind.LeaveTarget,
]);
/** Time after the end of a disruptive fault in which it may still have effects. */
const AFTER_EFFECT_MS = 3_000;

function pickFrom<Item>(items: readonly Item[], selector: number): Item | undefined {
  return items[Math.floor(selector * items.length)];
}

/** Injects each fault at its planned time. */
export function injectFaults(options: FaultInjectionOptions): InjectedGatewayFaults {
  const { faults, timers, store, environment, gateways, observations } = options;
  const reload = options.reload ?? ((gateway) => gateway.process.sendSignal('SIGHUP'));
  const startMs = timers.getMonotonicMs();
  /** Gateways that a fault is pausing, stopping or killing; further such faults are skipped. */
  const busyGateways = new Set<SoakGateway>();

  const isDisrupted = (fromMs: number, toMs: number): boolean =>
    faults.some(({ kind, atMs, forMs }) => {
      const beginMs = startMs + atMs;
      return (
        DISRUPTIVE_FAULTS.has(kind) && beginMs < toMs && beginMs + forMs + AFTER_EFFECT_MS > fromMs
      );
    });

  const stopGateway = async (gateway: SoakGateway): Promise<void> => {
    const atMs = timers.getMonotonicMs();
    const stop: PlannedStop = {
      gateway: gateway.callersAddress,
      atMs,
      endedMs: undefined,
      isDisrupted: false,
    };
    observations.plannedStops.push(stop);
    gateway.process.sendSignal('SIGTERM');
    void gateway.process.exited.then(() => {
      stop.endedMs = timers.getMonotonicMs();
      stop.isDisrupted = isDisrupted(atMs, stop.endedMs);
    });
    await restartGateway(timers, gateway);
  };

  const runOnGateway = async (
    gateway: SoakGateway | undefined,
    run: (gateway: SoakGateway) => Promise<void>,
  ): Promise<void> => {
    if (gateway === undefined || busyGateways.has(gateway)) return;
    busyGateways.add(gateway);
    await run(gateway).finally(() => busyGateways.delete(gateway));
  };

  const runFault = async ({ kind, forMs, selector, variant }: PlannedFault): Promise<void> => {
    const gateway = pickFrom(gateways, selector);
    const target = pickFrom(environment.listTargets(), selector);
    const link = pickFrom(LINK_FAULTS, variant) ?? ProxyMode.Reset;
    switch (kind) {
      case FaultKind.PauseGateway:
        return runOnGateway(gateway, (one) => pauseGateway(timers, observations, one, forMs));
      case FaultKind.KillGateway:
        return runOnGateway(gateway, async (one) => {
          one.process.sendSignal('SIGKILL');
          await restartGateway(timers, one);
        });
      case FaultKind.StopGateway:
        return runOnGateway(gateway, stopGateway);
      case FaultKind.ReloadGateway:
        if (gateway !== undefined) reload(gateway);
        return undefined;
      case FaultKind.BreakStore:
        store.setFault(pickFrom(STORE_FAULTS, variant) ?? StoreFault.Silent);
        await timers.waitFor(forMs);
        return store.setFault(StoreFault.None);
      case FaultKind.DropHistory:
        return store.dropHistory();
      case FaultKind.BreakStoreLink:
        gateway?.storeProxy.setMode(link);
        await timers.waitFor(forMs);
        return gateway?.storeProxy.setMode(ProxyMode.Pass);
      case FaultKind.BreakTargetLink:
        target?.proxy.setMode(link);
        await timers.waitFor(forMs);
        return target?.proxy.setMode(ProxyMode.Pass);
      case FaultKind.CrashTarget:
        await target?.crash();
        return target && environment.replaceTarget(target);
      case FaultKind.LeaveTarget:
        await target?.leave();
        return target && environment.replaceTarget(target);
      default:
        return environment.changeConfiguration();
    }
  };

  return { runOnGateway, ...scheduleFaults(timers, faults, runFault) };
}
