import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import { StoreFault } from '../store/index.ts';
import type { SoakGateway } from './gateways.ts';
import { RESTART_DELAY_MS } from './gateways.ts';
import type { Observations, PlannedStop } from './observations.ts';
import type { PlannedFault } from './plan-faults.ts';
import { FaultKind } from './plan-faults.ts';
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
}

/** Handle for the faults of a run. */
export interface InjectedFaults {
  /** Resolves when all faults have ended. */
  finish(): Promise<void>;
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
export function injectFaults(options: FaultInjectionOptions): InjectedFaults {
  const { faults, timers, store, environment, gateways, observations } = options;
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

  const restart = async (gateway: SoakGateway): Promise<void> => {
    await gateway.process.exited;
    await timers.waitFor(RESTART_DELAY_MS);
    gateway.restart();
  };

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
    await gateway.process.exited;
    stop.endedMs = timers.getMonotonicMs();
    stop.isDisrupted = isDisrupted(atMs, stop.endedMs);
    await restart(gateway);
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
        return runOnGateway(gateway, async (one) => {
          one.process.sendSignal('SIGSTOP');
          await timers.waitFor(forMs);
          one.process.sendSignal('SIGCONT');
        });
      case FaultKind.KillGateway:
        return runOnGateway(gateway, async (one) => {
          one.process.sendSignal('SIGKILL');
          await restart(one);
        });
      case FaultKind.StopGateway:
        return runOnGateway(gateway, stopGateway);
      case FaultKind.ReloadGateway:
        gateway?.process.sendSignal('SIGHUP');
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

  const running = faults.map(async (fault) => {
    await timers.waitFor(fault.atMs);
    await runFault(fault);
  });
  return {
    async finish() {
      await Promise.all(running);
    },
  };
}
