import type { Allocation } from '../allocation/index.ts';
import type { DocumentStore, Versioned } from '../documents/index.ts';

/** Where a target is, and the documents that say so. */
export interface TargetPlace {
  vm: string;
  address: string;
  port: number;
  /** Version of the allocation that was read; 0 for a plain service. */
  allocationVersion: number;
}

/** Places that one document names, so that a change of one does not touch the others. */
export interface PlaceSource {
  /** Name of the fabric domain; undefined for the configuration. */
  fabricDomain: string | undefined;
  places: TargetPlace[];
}

function listEnginePlaces({ version, value }: Versioned<Allocation>): TargetPlace[] {
  return Object.values(value.vms).map(({ vm, address, port }) => ({
    vm,
    address,
    port,
    allocationVersion: version,
  }));
}

function listServicePlaces(documents: DocumentStore): TargetPlace[] {
  const services = documents.getConfiguration()?.value.services ?? [];
  return services.flatMap(({ targets }) =>
    targets.map(({ vm, address, port }) => ({ vm, address, port, allocationVersion: 0 })),
  );
}

/** Returns the places that the allocation of a fabric domain names, or the configuration. */
export function getPlaceSource(
  documents: DocumentStore,
  fabricDomain: string | undefined,
): PlaceSource {
  if (fabricDomain === undefined) return { fabricDomain, places: listServicePlaces(documents) };
  const allocation = documents
    .listAllocations()
    .find(({ value }) => value.fabricDomain === fabricDomain);
  return { fabricDomain, places: allocation === undefined ? [] : listEnginePlaces(allocation) };
}

/** Lists the places of all engine members and of all targets of plain services. */
export function listPlaceSources(documents: DocumentStore): PlaceSource[] {
  const domains = documents.listAllocations().map(({ value }) => value.fabricDomain);
  return [undefined, ...domains].map((domain) => getPlaceSource(documents, domain));
}

/** Lists the VMs of the targets that the routes of some customers lead to. */
export function listUsableVms(
  documents: DocumentStore,
  mayServe: (customer: string) => boolean,
): string[] {
  const configuration = documents.getConfiguration()?.value;
  if (configuration === undefined) return [];
  const routes = configuration.routes.filter(({ customer }) => mayServe(customer));
  const groups = new Set(routes.flatMap(({ servingGroups }) => servingGroups));
  const services = new Set(routes.map(({ service }) => service));
  const engines = documents
    .listAllocations()
    .flatMap(({ value }) => value.groups)
    .filter(({ servingGroup }) => groups.has(servingGroup))
    .flatMap(({ members }) => members);
  const targets = configuration.services
    .filter(({ name }) => services.has(name))
    .flatMap((service) => service.targets.map(({ vm }) => vm));
  return [...new Set([...engines, ...targets])].sort();
}
