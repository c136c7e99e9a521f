import { formatSuggestion } from '../suggestions/index.ts';
import type { SectionName } from './rows.ts';
import { listRows } from './rows.ts';
import type { Declaration, Route, Service } from './types.ts';

/** A problem in a declaration that prevents applying it. */
export interface DeclarationProblem {
  /** Path of the value in the file. */
  path: readonly PropertyKey[];
  problem: string;
}

/** Declared names that rows may refer to. */
interface KnownNames {
  customers: Set<string>;
  servingGroups: Set<string>;
  services: Set<string>;
  availabilityZones: Set<string>;
  /** Routes by customer. */
  routes: Map<string, Map<string, Route>>;
}

function buildKnownNames(declaration: Declaration): KnownNames {
  const routes = new Map<string, Map<string, Route>>();
  declaration.routes.forEach((route) => {
    const customerRoutes = routes.get(route.customer) ?? new Map<string, Route>();
    routes.set(route.customer, customerRoutes.set(route.name, route));
  });
  return {
    customers: new Set(declaration.limits.map(({ customer }) => customer)),
    servingGroups: new Set(declaration.servingGroups.map(({ name }) => name)),
    services: new Set(declaration.services.map(({ name }) => name)),
    availabilityZones: new Set(declaration.availabilityZones.map(({ name }) => name)),
    routes,
  };
}

/** A reference in a row to a name that must be declared. */
interface Reference {
  path: readonly PropertyKey[];
  /** What the name refers to, such as `customer`. */
  kind: string;
  name: string;
  known: Iterable<string>;
  /** Text that follows the name in the message, such as `of customer "orchard"`. */
  qualifier?: string;
}

function checkReference(reference: Reference): DeclarationProblem[] {
  const { path, kind, name, qualifier } = reference;
  const known = [...reference.known];
  if (known.includes(name)) return [];
  const suffix = qualifier === undefined ? '' : ` ${qualifier}`;
  return [{ path, problem: `unknown ${kind} "${name}"${suffix}${formatSuggestion(name, known)}` }];
}

function checkCustomer(
  index: number,
  section: SectionName,
  name: string,
  { customers }: KnownNames,
): DeclarationProblem[] {
  const path = [section, index, 'customer'];
  const qualifier = 'without a row in limits';
  return checkReference({ path, kind: 'customer', name, known: customers, qualifier });
}

function checkDuplicates(declaration: Declaration): DeclarationProblem[] {
  const firstByPath = new Map<string, number>();
  return listRows(declaration).flatMap(({ path, section, index }) => {
    const first = firstByPath.get(path);
    if (first === undefined) {
      firstByPath.set(path, index);
      return [];
    }
    return [{ path: [section, index], problem: `duplicate of ${section}[${first}] (${path})` }];
  });
}

function checkTargets(service: Service, index: number, known: KnownNames): DeclarationProblem[] {
  const seen = new Set<string>();
  return service.targets.flatMap(({ vm, availabilityZone }, position) => {
    const path = ['services', index, 'targets', position];
    const problems = checkReference({
      path: [...path, 'availabilityZone'],
      kind: 'availability zone',
      name: availabilityZone,
      known: known.availabilityZones,
    });
    if (seen.has(vm)) problems.push({ path, problem: `duplicate target "${vm}"` });
    seen.add(vm);
    return problems;
  });
}

function checkRoute(route: Route, index: number, known: KnownNames): DeclarationProblem[] {
  const path = ['routes', index];
  const problems = checkCustomer(index, 'routes', route.customer, known);
  const seen = new Set<string>();
  route.servingGroups.forEach((name, position) => {
    const itemPath = [...path, 'servingGroups', position];
    const kind = 'serving group';
    problems.push(...checkReference({ path: itemPath, kind, name, known: known.servingGroups }));
    if (seen.has(name))
      problems.push({ path: itemPath, problem: `duplicate serving group "${name}"` });
    seen.add(name);
  });
  if (route.service !== undefined) {
    const reference = { path: [...path, 'service'], kind: 'service', name: route.service };
    problems.push(...checkReference({ ...reference, known: known.services }));
  }
  const hasGroups = route.servingGroups.length > 0;
  if (hasGroups === (route.service !== undefined)) {
    problems.push({ path, problem: 'needs either serving groups or a service' });
  }
  return problems;
}

function checkWeights(declaration: Declaration, known: KnownNames): DeclarationProblem[] {
  return declaration.weights.flatMap((row, index) => {
    const problems = checkCustomer(index, 'weights', row.customer, known);
    if (problems.length > 0) return problems;
    const routes = known.routes.get(row.customer) ?? new Map<string, Route>();
    const route = routes.get(row.route);
    if (route === undefined) {
      const qualifier = `of customer "${row.customer}"`;
      const reference = { path: ['weights', index, 'route'], kind: 'route', name: row.route };
      return checkReference({ ...reference, known: routes.keys(), qualifier });
    }
    return checkReference({
      path: ['weights', index, 'servingGroup'],
      kind: 'serving group',
      name: row.servingGroup,
      known: route.servingGroups,
      qualifier: `of route "${row.customer}/${row.route}"`,
    });
  });
}

/** Rejects routes whose serving groups all have weight 0; they would refuse every request. */
function checkRouteWeights(declaration: Declaration): DeclarationProblem[] {
  const zeroRows = new Set(
    listRows({ ...declaration, weights: declaration.weights.filter(({ weight }) => weight === 0) })
      .filter(({ section }) => section === 'weights')
      .map(({ path }) => path),
  );
  return declaration.routes.flatMap(({ customer, name, servingGroups }, index) => {
    const isZero = (group: string): boolean => zeroRows.has(`weights/${customer}/${name}/${group}`);
    if (servingGroups.length === 0 || !servingGroups.every(isZero)) return [];
    return [{ path: ['routes', index], problem: 'all its serving groups have weight 0' }];
  });
}

/** Lists duplicate names, references to undeclared names and routes without usable targets. */
export function listReferenceProblems(declaration: Declaration): DeclarationProblem[] {
  const known = buildKnownNames(declaration);
  return [
    ...checkDuplicates(declaration),
    ...declaration.services.flatMap((service, index) => checkTargets(service, index, known)),
    ...declaration.routes.flatMap((route, index) => checkRoute(route, index, known)),
    ...checkWeights(declaration, known),
    ...checkRouteWeights(declaration),
  ];
}
