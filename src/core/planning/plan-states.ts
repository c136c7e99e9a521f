import type { GroupAllocation } from '../allocation/index.ts';
import { AllocationEventKind, GroupState } from '../allocation/index.ts';
import { GroupCondition, isDrained } from './conditions.ts';
import { isConfirmed, isReadyMember } from './members.ts';
import type { ChangeAction, PlanningInput } from './types.ts';
import { PlanActionKind } from './types.ts';

/** Builds the action that sets the state of a group at its current generation. */
export function buildStateChange(group: GroupAllocation, state: GroupState): ChangeAction {
  const { name, generation } = group;
  const kind = AllocationEventKind.GroupStateChanged;
  const event = { kind, group: name, generation, state } as const;
  return { kind: PlanActionKind.ChangeAllocation, event };
}

/** Builds the action that removes a group; its members become spares. */
export function buildRemoval(group: string): ChangeAction {
  const event = { kind: AllocationEventKind.GroupRemoved, group } as const;
  return { kind: PlanActionKind.ChangeAllocation, event };
}

function planStateChange(group: GroupAllocation, state: GroupState): ChangeAction[] {
  return group.state === state ? [] : [buildStateChange(group, state)];
}

function planWholeGroup(group: GroupAllocation, input: PlanningInput): ChangeAction[] {
  switch (group.state) {
    case GroupState.Draining:
      // There is no longer a reason to drain; the group serves again once its members confirm it.
      return planStateChange(group, GroupState.Forming);
    case GroupState.Forming:
      return isConfirmed(group, input.views) ? planStateChange(group, GroupState.Serving) : [];
    default: {
      const isReady = group.members.every((vm, rank) =>
        isReadyMember(input.views.get(vm), group, rank),
      );
      return isReady ? [] : planStateChange(group, GroupState.Forming);
    }
  }
}

/** Returns whether the members of a group can change now without interrupting requests. */
export function isRepairable(
  group: GroupAllocation,
  condition: GroupCondition,
  input: PlanningInput,
): boolean {
  if (condition === GroupCondition.Damaged) return true;
  const isWaiting =
    condition === GroupCondition.Evacuating || condition === GroupCondition.Outdated;
  return isWaiting && (group.state === GroupState.Forming || isDrained(group, input));
}

/** Plans the next state of a group whose members do not change in this plan. */
export function planGroupState(
  group: GroupAllocation,
  condition: GroupCondition,
  input: PlanningInput,
): ChangeAction[] {
  switch (condition) {
    case GroupCondition.Whole:
      return planWholeGroup(group, input);
    case GroupCondition.Damaged:
      return planStateChange(group, GroupState.Forming);
    case GroupCondition.Abandoned:
      return [buildRemoval(group.name)];
    case GroupCondition.Unwanted: {
      const isStopped = group.state === GroupState.Forming || isDrained(group, input);
      if (isStopped) return [buildRemoval(group.name)];
      return planStateChange(group, GroupState.Draining);
    }
    case GroupCondition.Evacuating:
    case GroupCondition.Outdated:
      return isRepairable(group, condition, input)
        ? []
        : planStateChange(group, GroupState.Draining);
    default:
      return [];
  }
}
