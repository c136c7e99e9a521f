import type {
  Customer,
  CustomerRoute,
  ServiceSpec,
  ServingConfiguration,
} from '../serving/index.ts';

/** One version of the configuration, indexed for lookups. */
export interface RoutingTable {
  version: number;
  configuration: ServingConfiguration;
  /** Returns the route of the host with the longest path prefix that matches. */
  findRoute(host: string, path: string): CustomerRoute | undefined;
  /** Whether requests need a customer's API key, except on routes that allow anonymous callers. */
  requiresKeys(): boolean;
  /** Returns the customer that the API key belongs to. */
  findCustomer(key: string): Customer | undefined;
  findService(name: string): ServiceSpec | undefined;
}

/** Builds the routing table of a configuration; the table is immutable. */
export function buildRoutingTable(configuration: ServingConfiguration): RoutingTable {
  const byHost = new Map<string, CustomerRoute[]>();
  for (const route of configuration.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  const customers = new Map(
    (configuration.customers ?? []).flatMap((customer) =>
      customer.keys.map((key): [string, Customer] => [key, customer]),
    ),
  );
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return {
    version: configuration.version,
    configuration,
    findRoute: (host, path) =>
      byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    requiresKeys: () => configuration.customers !== undefined,
    findCustomer: (key) => customers.get(key),
    findService: (name) => services.get(name),
  };
}
