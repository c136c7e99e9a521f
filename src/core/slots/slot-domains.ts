import type { DocumentStore } from '../documents/index.ts';
import type { TargetLocation } from '../probing/index.ts';

/** A target and the fabric domain whose granter is responsible for its slots. */
export interface SlotTarget {
  fabricDomain: string;
  location: Omit<TargetLocation, 'allocationVersion'>;
}

/** Finds an engine VM or a target of a plain service, with its fabric domain. */
export function findSlotTarget(documents: DocumentStore, vm: string): SlotTarget | undefined {
  const allocation = documents.listAllocations().find(({ value }) => value.vms[vm] !== undefined);
  const member = allocation?.value.vms[vm];
  if (allocation !== undefined && member !== undefined) {
    return { fabricDomain: allocation.value.fabricDomain, location: member };
  }
  const services = documents.getConfiguration()?.value.services ?? [];
  const service = services.find(({ targets }) => targets.some((target) => target.vm === vm));
  const target = service?.targets.find((candidate) => candidate.vm === vm);
  if (service === undefined || target === undefined) return undefined;
  return { fabricDomain: service.fabricDomain, location: target };
}

/** Returns the VM whose entry daemon grants the slots of a fabric domain. */
export function findGranterVm(documents: DocumentStore, fabricDomain: string): string | undefined {
  const allocation = documents
    .listAllocations()
    .find(({ value }) => value.fabricDomain === fabricDomain);
  const lease = allocation?.value.lease;
  return lease === undefined || lease.released ? undefined : lease.vm;
}
