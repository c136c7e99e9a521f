import { formatProblem } from '../errors/index.ts';
import type { OrderAction, SentOrder } from '../planning/index.ts';
import type { EngineOrder } from '../domain-types/index.ts';
import type { ControllerContext, EngineAddress } from './types.ts';
import { OrderAnswer } from './types.ts';
import type { SequenceCounter } from './vm-monitor.ts';

interface OrderRecord {
  order: EngineOrder;
  sequence: number;
  sentMs: number;
  /** Time until which an earlier unanswered order to the VM may still take effect. */
  earlierOrderUntilMs: number;
  isInFlight: boolean;
  isAnswered: boolean;
}

/** Sends orders to engines during one lease term. */
export interface OrderSender {
  /**
   * Sends an order unless the same one was sent just before or a different unanswered one may still
   * take effect.
   */
  sendOrder(target: EngineAddress, action: OrderAction): void;
  getOrder(vm: string): SentOrder | undefined;
}

function isSameOrder(left: EngineOrder, right: EngineOrder): boolean {
  return left.group === right.group && left.generation === right.generation;
}

/** Creates the order sender of one domain; it sends nothing while `maySendOrders` is false. */
export function createOrderSender(
  context: ControllerContext,
  fabricDomain: string,
  counter: SequenceCounter,
  maySendOrders: () => boolean,
): OrderSender {
  const { engines, recorder, settings, timers, logger } = context;
  const records = new Map<string, OrderRecord>();

  const computeUnansweredUntil = (record: OrderRecord | undefined): number => {
    if (record === undefined) return 0;
    const { isAnswered, sentMs, earlierOrderUntilMs } = record;
    return isAnswered ? earlierOrderUntilMs : sentMs + settings.orders.longestDelayMs;
  };

  const isBlocked = (vm: string, order: EngineOrder): boolean => {
    const last = records.get(vm);
    if (last === undefined) return false;
    const nowMs = timers.getMonotonicMs();
    const ageMs = nowMs - last.sentMs;
    if (isSameOrder(last.order, order)) {
      return last.isInFlight || ageMs < settings.orders.retryMs;
    }
    // An unanswered order may take effect after a later one and override it.
    return nowMs < computeUnansweredUntil(last);
  };

  const recordAnswer = (vm: string, order: EngineOrder, answer: OrderAnswer): void => {
    if (answer === OrderAnswer.Accepted) return;
    const { epoch, generation } = order;
    const group = order.group ?? 'none';
    recorder.record('controller', 'order-refused', { fabricDomain, vm, group, generation, epoch });
  };

  const deliver = async (target: EngineAddress, record: OrderRecord): Promise<void> => {
    try {
      recordAnswer(target.vm, record.order, await engines.sendOrder(target, record.order));
      record.isAnswered = true;
    } catch (error) {
      logger.warn('engine did not answer an order', {
        vm: target.vm,
        problem: formatProblem(error),
      });
    } finally {
      record.isInFlight = false;
    }
  };

  return {
    sendOrder(target, { vm, order }) {
      if (!maySendOrders() || isBlocked(vm, order)) return;
      const previous = records.get(vm);
      const isRepeat = previous !== undefined && isSameOrder(previous.order, order);
      const record: OrderRecord = {
        order,
        sequence: counter.takeNext(),
        sentMs: timers.getMonotonicMs(),
        earlierOrderUntilMs: computeUnansweredUntil(previous),
        isInFlight: true,
        isAnswered: false,
      };
      records.set(vm, record);
      const { epoch, generation, rank } = order;
      const group = order.group ?? 'none';
      const kind = isRepeat ? 'order-repeated' : 'order-sent';
      recorder.record('controller', kind, { fabricDomain, vm, group, generation, rank, epoch });
      void deliver(target, record);
    },
    getOrder(vm) {
      const record = records.get(vm);
      if (record === undefined) return undefined;
      const { order, sequence } = record;
      return { group: order.group, generation: order.generation, sequence };
    },
  };
}
