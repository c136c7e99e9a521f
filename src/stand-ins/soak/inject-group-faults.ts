import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import type { SoakGateway } from './gateways.ts';
import type { InjectedGatewayFaults } from './inject-faults.ts';
import type { Observations } from './observations.ts';
import type { OrderDelays } from './order-delays.ts';
import { pauseGateway } from './pause-gateway.ts';
import type { PlannedGroupFault } from './plan-group-faults.ts';
import { GroupFaultKind } from './plan-group-faults.ts';
import { restartGateway } from './restart-gateway.ts';
import type { InjectedFaults } from './schedule-faults.ts';
import { scheduleFaults } from './schedule-faults.ts';
import type { SoakEnvironment } from './soak-environment.ts';

/** The planned faults and the parts of the system that they act on. */
export interface GroupFaultOptions {
  faults: readonly PlannedGroupFault[];
  timers: TimerService;
  store: Pick<StandInStore, 'getObject' | 'putObject' | 'removeObject'>;
  environment: Pick<SoakEnvironment, 'cutEngines' | 'hideEngines'>;
  orderDelays: OrderDelays;
  gateways: readonly SoakGateway[];
  observations: Pick<Observations, 'pauses'>;
  zones: readonly string[];
  runOnGateway: InjectedGatewayFaults['runOnGateway'];
}

const EVACUATIONS = 'evacuations';
const DUTIES = 'clementinefork-duties';
const LEASE = 'groups';

/** Injects each fault at its planned time. */
export function injectGroupFaults(options: GroupFaultOptions): InjectedFaults {
  const { timers, store, environment, orderDelays, gateways, observations, zones } = options;
  /** Number of faults that keep a zone out of use, by zone. */
  const evacuations = new Map<string, number>();

  const findLeader = (): SoakGateway | undefined => {
    const lease = store.getObject(DUTIES, LEASE)?.spec as { holder?: string } | undefined;
    return gateways.find(({ name }) => name === lease?.holder);
  };

  const addEvacuations = (zone: string, change: number): void => {
    const count = (evacuations.get(zone) ?? 0) + change;
    evacuations.set(zone, count);
    if (count === 0) store.removeObject(EVACUATIONS, zone);
    else if (count === change) store.putObject(EVACUATIONS, zone, {});
  };

  const runFault = async ({ kind, forMs, selector }: PlannedGroupFault): Promise<void> => {
    const zone = zones[Math.floor(selector * zones.length)] ?? '';
    switch (kind) {
      case GroupFaultKind.EvacuateZone:
        addEvacuations(zone, 1);
        await timers.waitFor(forMs);
        return addEvacuations(zone, -1);
      case GroupFaultKind.CutEngines: {
        const heal = environment.cutEngines(selector);
        await timers.waitFor(forMs);
        return heal();
      }
      case GroupFaultKind.HideEngines: {
        const heal = environment.hideEngines(selector);
        await timers.waitFor(forMs);
        return heal();
      }
      case GroupFaultKind.DelayOrders:
        orderDelays.setActive(true);
        await timers.waitFor(forMs);
        return orderDelays.setActive(false);
      case GroupFaultKind.PauseLeader:
        return options.runOnGateway(findLeader(), (leader) =>
          pauseGateway(timers, observations, leader, forMs),
        );
      default:
        return options.runOnGateway(findLeader(), async (leader) => {
          leader.process.sendSignal('SIGKILL');
          await restartGateway(timers, leader);
        });
    }
  };

  return scheduleFaults(timers, options.faults, runFault);
}
