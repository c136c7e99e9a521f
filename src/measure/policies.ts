import type { ColdTarget } from '../core/slots/fixtures/cold-target.ts';
import type { SlotCluster, SlotDaemon } from '../core/slots/fixtures/slot-cluster.ts';

/** How a daemon limits the requests that it sends to a cold target; the last two are baselines. */
export enum Policy {
  /** A daemon needs a slot from the granter, which counts the slots of all daemons. */
  SharedSlots = 'shared-slots',
  /** Each daemon on its own sends a cold target one request at a time. */
  DaemonSlowStart = 'daemon-slow-start',
  /** Each daemon picks the target with the fewest requests of its own in flight, cold or warm. */
  LeastOutstanding = 'least-outstanding',
}

/** Counters of one run. The keys appear in the output of the measurement. */
export interface PolicyCounts {
  sent: number;
  /** Requests that were not sent, because no target was available. */
  waited: number;
  /** Requests that arrived at a cold target, whether or not the daemon knew that it was cold. */
  sentCold: number;
  /** Arrivals above the cold limit that the sender had routed as to a warm target. */
  overloadsBeforeSign: number;
  /** Arrivals above the cold limit although the sender knew that the target was cold. */
  overloads: number;
  /** Most requests running at once on a cold target. */
  mostRunningCold: number;
}

/** Sends requests according to one policy and counts the results. */
export interface PolicyRun {
  counts: PolicyCounts;
  /** Sends a request from a daemon; returns the target's VM, or undefined if none was available. */
  sendRequest(daemon: SlotDaemon): Promise<string | undefined>;
}

interface Reservation {
  target: ColdTarget;
  isKnownCold: boolean;
  release: () => void;
}

/** Creates a run of a policy; `coldLimit` is the number of requests that a cold target takes. */
export function createPolicyRun(
  policy: Policy,
  cluster: SlotCluster,
  targets: readonly ColdTarget[],
  coldLimit: number,
): PolicyRun {
  const counts: PolicyCounts = {
    sent: 0,
    waited: 0,
    sentCold: 0,
    overloadsBeforeSign: 0,
    overloads: 0,
    mostRunningCold: 0,
  };
  const outstanding = new Map<string, number>();

  const addOutstanding = (daemon: string, vm: string, change: number): number => {
    const key = `${daemon}/${vm}`;
    const value = (outstanding.get(key) ?? 0) + change;
    outstanding.set(key, value);
    return value;
  };

  const reserveColdTarget = async (
    daemon: SlotDaemon,
    vm: string,
  ): Promise<(() => void) | undefined> => {
    if (policy === Policy.LeastOutstanding) return () => {};
    if (policy === Policy.DaemonSlowStart) {
      return addOutstanding(daemon.name, vm, 0) === 0 ? () => {} : undefined;
    }
    const slot = await daemon.client.takeSlot(vm);
    return slot?.release;
  };

  const reserveTarget = async (daemon: SlotDaemon): Promise<Reservation | undefined> => {
    const listed = daemon.directory
      .listServiceTargets('orchard', 'orders')
      .map((target) => ({ ...target, ownInFlight: addOutstanding(daemon.name, target.vm, 0) }))
      .sort((left, right) => left.ownInFlight - right.ownInFlight);
    // Every policy except least-outstanding prefers warm targets.
    const ignoresWarmth = policy === Policy.LeastOutstanding;
    const ordered = ignoresWarmth
      ? listed
      : [...listed.filter(({ warm }) => warm), ...listed.filter(({ warm }) => !warm)];
    for (const { vm, warm } of ordered) {
      const target = targets.find((candidate) => candidate.vm === vm);
      const release = warm ? () => {} : await reserveColdTarget(daemon, vm);
      if (target !== undefined && release !== undefined) {
        return { target, isKnownCold: !warm, release };
      }
    }
    return undefined;
  };

  const countArrival = ({ target, isKnownCold }: Reservation): void => {
    counts.sent++;
    if (target.isWarm()) return;
    const running = target.countRunning() + 1;
    counts.sentCold++;
    counts.mostRunningCold = Math.max(counts.mostRunningCold, running);
    if (running <= coldLimit) return;
    if (isKnownCold) counts.overloads++;
    else counts.overloadsBeforeSign++;
  };

  return {
    counts,
    async sendRequest(daemon) {
      const reservation = await reserveTarget(daemon);
      if (reservation === undefined) {
        counts.waited++;
        return undefined;
      }
      const { target, isKnownCold, release } = reservation;
      addOutstanding(daemon.name, target.vm, 1);
      await cluster.network.sendMessage(daemon.name, target.vm);
      countArrival(reservation);
      void target.runRequest(isKnownCold).then(() => {
        addOutstanding(daemon.name, target.vm, -1);
        release();
      });
      return target.vm;
    },
  };
}
