import type { Allocation } from '../allocation/index.ts';
import type { DocumentStore, Versioned } from '../documents/index.ts';

/** Location of a target, with the version of the allocation that lists it. */
export interface TargetLocation {
  vm: string;
  address: string;
  port: number;
  /** Version of the allocation; 0 for a plain service, which the configuration lists. */
  allocationVersion: number;
}

/** Targets that one document lists, so that a change of one document leaves the others alone. */
export interface LocationSource {
  /** Name of the fabric domain; undefined for the configuration. */
  fabricDomain: string | undefined;
  locations: TargetLocation[];
}

function listEngineLocations({ version, value }: Versioned<Allocation>): TargetLocation[] {
  return Object.values(value.vms).map(({ vm, address, port }) => ({
    vm,
    address,
    port,
    allocationVersion: version,
  }));
}

function listServiceLocations(documents: DocumentStore): TargetLocation[] {
  const services = documents.getConfiguration()?.value.services ?? [];
  return services.flatMap(({ targets }) =>
    targets.map(({ vm, address, port }) => ({ vm, address, port, allocationVersion: 0 })),
  );
}

/** Returns the targets in the allocation of a fabric domain, or in the configuration. */
export function getLocationSource(
  documents: DocumentStore,
  fabricDomain: string | undefined,
): LocationSource {
  if (fabricDomain === undefined)
    return { fabricDomain, locations: listServiceLocations(documents) };
  const allocation = documents
    .listAllocations()
    .find(({ value }) => value.fabricDomain === fabricDomain);
  return {
    fabricDomain,
    locations: allocation === undefined ? [] : listEngineLocations(allocation),
  };
}

/** Lists the locations of all engine members and plain services, grouped by document. */
export function listLocationSources(documents: DocumentStore): LocationSource[] {
  const domains = documents.listAllocations().map(({ value }) => value.fabricDomain);
  return [undefined, ...domains].map((domain) => getLocationSource(documents, domain));
}

/** Lists the VMs of all targets on the routes of the customers that this daemon may serve. */
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
