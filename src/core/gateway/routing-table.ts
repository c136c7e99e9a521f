import type {
  Customer,
  CustomerRoute,
  ServiceSpec,
  ServingConfiguration,
} from '../serving/index.ts';

/** One version of the configuration, arranged for look-ups. */
export interface RoutingTable {
  version: number;
  configuration: ServingConfiguration;
  /** Returns the route with the longest prefix that begins the path. */
  findRoute(host: string, path: string): CustomerRoute | undefined;
  hasKeys(): boolean;
  findCustomer(key: string): Customer | undefined;
  findService(name: string): ServiceSpec | undefined;
}

/** Arranges a configuration for look-ups; the table does not change afterwards. */
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
    hasKeys: () => configuration.customers !== undefined,
    findCustomer: (key) => customers.get(key),
    findService: (name) => services.get(name),
  };
}
