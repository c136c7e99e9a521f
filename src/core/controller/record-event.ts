import type { AllocationEvent } from '../allocation/index.ts';
import { AllocationEventKind } from '../allocation/index.ts';
import type { EventAttributes, EventRecorder } from '../events/index.ts';

function buildAttributes(event: AllocationEvent): EventAttributes {
  switch (event.kind) {
    case AllocationEventKind.VmAdopted:
    case AllocationEventKind.VmUpdated:
      return { vm: event.vm.vm, leaving: event.vm.leaving };
    case AllocationEventKind.VmRemoved:
      return { vm: event.vm };
    case AllocationEventKind.GroupFormed: {
      const { name, generation, members } = event.group;
      return { group: name, generation, members: members.join(',') };
    }
    case AllocationEventKind.GroupReformed:
      return { group: event.group, members: event.members.join(',') };
    case AllocationEventKind.GroupStateChanged:
      return { group: event.group, generation: event.generation, state: event.state };
    case AllocationEventKind.GroupRemoved:
      return { group: event.group };
    case AllocationEventKind.LeavingServicesChanged:
      return { vms: event.vms.join(',') };
    default:
      return event satisfies never;
  }
}

/** Records a change of the allocation in the timeline, after the platform has applied it. */
export function recordAllocationEvent(
  recorder: EventRecorder,
  fabricDomain: string,
  event: AllocationEvent,
): void {
  recorder.record('allocation', event.kind, { fabricDomain, ...buildAttributes(event) });
}
