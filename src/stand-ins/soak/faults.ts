import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import { StoreFault } from '../store/index.ts';
import type { SoakGateway } from './gateways.ts';
import type { Ledger, PlannedStop } from './ledger.ts';
import type { PlannedFault } from './plan-faults.ts';
import { FaultKind } from './plan-faults.ts';
import type { SoakWorld } from './soak-world.ts';
import { ProxyMode } from './tcp-proxy.ts';

/** The planned faults and the parts of the system that they act on. */
export interface FaultOptions {
  faults: readonly PlannedFault[];
  timers: TimerService;
  store: StandInStore;
  world: SoakWorld;
  gateways: readonly SoakGateway[];
  ledger: Ledger;
}

/** Handle for the faults of a run. */
export interface InjectedFaults {
  /** Resolves when all faults have ended. */
  finish(): Promise<void>;
}

const STORE_FAULTS = Object.values(StoreFault).filter((fault) => fault !== StoreFault.None);
const LINK_FAULTS = Object.values(ProxyMode).filter((mode) => mode !== ProxyMode.Pass);
/** Delay before a process that ended is restarted, as on the platform. */
const RESTART_MS = 300;
/** Faults that can break a response themselves, so that a planned stop may not be the cause. */
const DISTURBING: ReadonlySet<FaultKind> = new Set([
  FaultKind.PauseGateway,
  FaultKind.KillGateway,
  FaultKind.BreakTargetLink,
  FaultKind.CrashTarget,
  FaultKind.LeaveTarget,
]);
/** Time after the end of a disruptive fault in which it may still have effects. */
const AFTER_EFFECT_MS = 3_000;

function pickFrom<Item>(items: readonly Item[], pick: number): Item | undefined {
  return items[Math.floor(pick * items.length)];
}

/** Injects each fault at its planned time. */
export function startFaults(options: FaultOptions): InjectedFaults {
  const { faults, timers, store, world, gateways, ledger } = options;
  const startMs = timers.getMonotonicMs();
  /** Gateways that a fault is pausing, stopping or killing; further such faults are skipped. */
  const busy = new Set<SoakGateway>();

  const isDisturbed = (fromMs: number, toMs: number): boolean =>
    faults.some(({ kind, atMs, forMs }) => {
      const begin = startMs + atMs;
      return DISTURBING.has(kind) && begin < toMs && begin + forMs + AFTER_EFFECT_MS > fromMs;
    });

  const restart = async (gateway: SoakGateway): Promise<void> => {
    await gateway.process.exited;
    await timers.waitFor(RESTART_MS);
    gateway.restart();
  };

  const stopGateway = async (gateway: SoakGateway): Promise<void> => {
    const atMs = timers.getMonotonicMs();
    const stop: PlannedStop = {
      gateway: gateway.callersAddress,
      atMs,
      endedMs: undefined,
      isDisturbed: false,
    };
    ledger.stops.push(stop);
    gateway.process.sendSignal('SIGTERM');
    await gateway.process.exited;
    stop.endedMs = timers.getMonotonicMs();
    stop.isDisturbed = isDisturbed(atMs, stop.endedMs);
    await restart(gateway);
  };

  const hitGateway = async (
    gateway: SoakGateway | undefined,
    run: (gateway: SoakGateway) => Promise<void>,
  ): Promise<void> => {
    if (gateway === undefined || busy.has(gateway)) return;
    busy.add(gateway);
    await run(gateway).finally(() => busy.delete(gateway));
  };

  const runFault = async ({ kind, forMs, pick, variant }: PlannedFault): Promise<void> => {
    const gateway = pickFrom(gateways, pick);
    const target = pickFrom(world.listTargets(), pick);
    const link = pickFrom(LINK_FAULTS, variant) ?? ProxyMode.Reset;
    switch (kind) {
      case FaultKind.PauseGateway:
        return hitGateway(gateway, async (one) => {
          one.process.sendSignal('SIGSTOP');
          await timers.waitFor(forMs);
          one.process.sendSignal('SIGCONT');
        });
      case FaultKind.KillGateway:
        return hitGateway(gateway, async (one) => {
          one.process.sendSignal('SIGKILL');
          await restart(one);
        });
      case FaultKind.StopGateway:
        return hitGateway(gateway, stopGateway);
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
        return target && world.replaceTarget(target);
      case FaultKind.LeaveTarget:
        await target?.leave();
        return target && world.replaceTarget(target);
      default:
        return world.changeConfiguration();
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
