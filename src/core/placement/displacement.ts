import { compareWaiters, findPlace } from './line-order.ts';
import type { RequestClass, WaitingLoad, WaitingRank } from './types.ts';

/** Properties of a waiting or arriving request by which one is chosen to be refused. */
export interface LineMember extends WaitingRank {
  load?: WaitingLoad | undefined;
}

/** Room for the requests of a line, as far as this gateway knows it. */
export interface LineRoom {
  nowMs: number;
  /** Time until the first target takes requests, in ms. */
  pauseMs: number;
  /** Mean time between two slots that become free for this gateway, in ms. */
  slotEveryMs: number;
}

/** What happens when a request arrives at a line. */
export interface ArrivalPlan<Member> {
  isAdmitted: boolean;
  /** Member of the line that is refused, as there is no room for both. */
  displaced: Member | undefined;
}

/**
 * A request that waits is refused only in favour of one of the same priority that takes less than
 * this share of its work; the caller of a request that waited would lose that time too.
 */
const MAX_WORK_SHARE = 2 / 3;

/** Whether a request would get its slot too late, with a number of others in front of it. */
function isTooLate(member: LineMember, ahead: number, room: LineRoom): boolean {
  const { nowMs, pauseMs, slotEveryMs } = room;
  return nowMs + pauseMs + (ahead + 1) * slotEveryMs > member.giveUpMs;
}

/** Whether the line tells its members apart by more than the time that they have left. */
function isSortedByCost(queue: readonly LineMember[]): boolean {
  return queue.some(
    ({ priority, load }) => load?.isTold === true || priority !== queue[0]?.priority,
  );
}

/**
 * Finds the member whose refusal costs callers least: of those whose class has got its part, the
 * least urgent one, and of several the one that takes most work.
 */
function selectCheapest(
  members: readonly LineMember[],
  isOwed: (requestClass: RequestClass) => boolean,
): LineMember | undefined {
  const rank = (member: LineMember) => ({
    member,
    isProtected: member.load !== undefined && isOwed(member.load.requestClass),
    workMs: member.load?.workMs ?? 0,
  });
  const [cheapest] = members
    .map(rank)
    .sort(
      (left, right) =>
        Number(left.isProtected) - Number(right.isProtected) ||
        right.member.priority - left.member.priority ||
        right.workMs - left.workMs,
    );
  return cheapest?.member;
}

/** Whether a waiting request is refused in favour of an arriving one. */
function isWorthDisplacing(waiting: LineMember, arriving: LineMember): boolean {
  if (waiting.priority !== arriving.priority) return waiting.priority > arriving.priority;
  return (arriving.load?.workMs ?? 0) < MAX_WORK_SHARE * (waiting.load?.workMs ?? 0);
}

/**
 * Decides which request is refused when one arrives at a line that is longer than what can be served
 * in time. Answers an overload in which requests differ in priority or work: a request that needs
 * little, or is urgent, takes the place of one whose refusal costs callers least. At most one request
 * is refused for each that arrives. If all are alike, it is the arriving one that finds no room.
 */
export function planArrival<Member extends LineMember>(
  line: readonly Member[],
  arriving: LineMember,
  room: LineRoom,
  isOwed: (requestClass: RequestClass) => boolean,
): ArrivalPlan<Member> {
  const place = findPlace(line, (one) => compareWaiters(one, arriving) > 0);
  const isArrivingLate = isTooLate(arriving, place, room);
  const queue: LineMember[] = [...line.slice(0, place), arriving, ...line.slice(place)];
  if (!isSortedByCost(queue)) return { isAdmitted: !isArrivingLate, displaced: undefined };
  const firstLate = isArrivingLate
    ? place
    : queue.findIndex(
        (member, ahead) =>
          ahead > place && isTooLate(member, ahead, room) && !isTooLate(member, ahead - 1, room),
      );
  if (firstLate < 0) return { isAdmitted: true, displaced: undefined };
  const cheapest = selectCheapest(queue.slice(0, firstLate + 1), isOwed);
  const displaced = line.find((one) => one === cheapest && isWorthDisplacing(one, arriving));
  return { isAdmitted: displaced !== undefined || !isArrivingLate, displaced };
}
