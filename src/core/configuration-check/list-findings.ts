import type {
  CustomerRoute,
  EngineSpec,
  ServiceSpec,
  ServingConfiguration,
} from '../serving/index.ts';
import { RequestKind } from '../serving/index.ts';
import type { Finding } from './types.ts';
import { FindingKind, Severity } from './types.ts';

/** Loads of weights a second that formation leaves unused, so that a bound over all VMs is kept. */
const RESERVED_LOADS_PER_SECOND = 1;

const createReporter =
  (severity: Severity, kind: FindingKind) =>
  (path: string, problem: string): Finding => ({ severity, kind, path, problem });

const reportNeverMatches = createReporter(Severity.Error, FindingKind.NeverMatches);
const reportUnused = createReporter(Severity.Warning, FindingKind.NeverMatches);
const reportName = createReporter(Severity.Error, FindingKind.Name);
const reportLimits = createReporter(Severity.Error, FindingKind.Limits);
const reportDoubtfulLimits = createReporter(Severity.Warning, FindingKind.Limits);

/** A condition that is a problem, and how it is reported. */
type Check = [isProblem: boolean, finding: () => Finding];

const listProblems = (checks: readonly Check[]): Finding[] =>
  checks.filter(([isProblem]) => isProblem).map(([, report]) => report());

function listDuplicateNames(section: string, names: readonly string[]): Finding[] {
  const duplicates = new Set(names.filter((name, index) => names.indexOf(name) !== index));
  return [...duplicates].map((name) =>
    reportName(`${section}/${name}`, `"${name}" is declared more than once; the last one holds`),
  );
}

/** Lists routes that another route of the same host and prefix, which comes first, always hides. */
function listHiddenRoutes(routes: readonly CustomerRoute[]): Finding[] {
  const firstByPrefix = new Map<string, string>();
  return routes.flatMap(({ name, host, pathPrefix }) => {
    const key = `${host} ${pathPrefix}`;
    const first = firstByPrefix.get(key);
    if (first === undefined) {
      firstByPrefix.set(key, name);
      return [];
    }
    const problem = `never matches: route "${first}" has the same host and path prefix`;
    return [reportNeverMatches(`routes/${name}`, problem)];
  });
}

function listRouteLimits(route: CustomerRoute): Finding[] {
  const { timeoutMs, latencyObjectiveMs, gapObjectiveMs, maxAttempts, kind, priority } = route;
  const path = `routes/${route.name}`;
  const isStreaming = kind === RequestKind.Streaming;
  const mayRepeat = kind === RequestKind.Idempotent || (isStreaming && route.isResumable);
  return listProblems([
    [!(timeoutMs > 0), () => reportLimits(path, 'the timeout is not positive')],
    [
      latencyObjectiveMs > timeoutMs,
      () => reportLimits(path, 'the latency objective is longer than the timeout'),
    ],
    [
      gapObjectiveMs !== undefined && gapObjectiveMs > timeoutMs,
      () => reportLimits(path, 'the objective for pauses is longer than the timeout'),
    ],
    [
      !isStreaming && gapObjectiveMs !== undefined,
      () => reportDoubtfulLimits(path, 'only streams have an objective for pauses'),
    ],
    [
      !isStreaming && route.isResumable,
      () => reportDoubtfulLimits(path, 'only streams can be resumed'),
    ],
    [
      maxAttempts < 1 || !Number.isInteger(maxAttempts),
      () => reportLimits(path, `${maxAttempts} attempts are not a positive whole number`),
    ],
    [
      maxAttempts > 1 && !mayRepeat,
      () => reportDoubtfulLimits(path, 'further attempts are not used: requests may run once only'),
    ],
    [
      priority < 0 || !Number.isInteger(priority),
      () => reportLimits(path, `priority ${priority} is not a whole number from 0`),
    ],
  ]);
}

function listRouteFindings(route: CustomerRoute, serviceNames: ReadonlySet<string>): Finding[] {
  const { name, pathPrefix, services } = route;
  const path = `routes/${name}`;
  const isPrefixMatchable = pathPrefix.startsWith('/') && pathPrefix.endsWith('/');
  const unknown = services.filter(({ service }) => !serviceNames.has(service));
  const hasWeight = services.some(({ weight }) => weight > 0);
  return [
    ...listProblems([
      [
        !isPrefixMatchable,
        () => reportNeverMatches(path, `path prefix "${pathPrefix}" has no slash at both ends`),
      ],
      [services.length === 0, () => reportName(path, 'has no service')],
      [
        services.length > 0 && !hasWeight,
        () => reportNeverMatches(path, 'all its services have weight 0'),
      ],
      [services.some(({ weight }) => weight < 0), () => reportLimits(path, 'a weight is negative')],
    ]),
    ...unknown.map(({ service }) => reportName(path, `service "${service}" is not declared`)),
    ...listRouteLimits(route),
  ];
}

function listEngineFindings(path: string, engine: EngineSpec): Finding[] {
  const { models, slots, loadsPerSecond } = engine;
  return [
    ...listDuplicateNames(
      `${path}/models`,
      models.map(({ name }) => name),
    ),
    ...listProblems([
      [!(slots >= 1), () => reportLimits(path, 'a group processes no request at once')],
      [models.length === 0, () => reportName(path, 'has engines and no model')],
      [
        models.length > 0 && models.every(({ engineShareWeight }) => !(engineShareWeight > 0)),
        () => reportLimits(path, 'no model has a share of the engines'),
      ],
      [
        Math.floor(loadsPerSecond) <= RESERVED_LOADS_PER_SECOND,
        () => reportDoubtfulLimits(path, 'with so few loads a second, no engine loads weights'),
      ],
    ]),
    ...models.flatMap(({ name, groupSize, loadMs, stagedJoinMs }) =>
      listProblems([
        [
          groupSize < 1 || !Number.isInteger(groupSize),
          () => reportLimits(`${path}/models/${name}`, `a group of ${groupSize} engines`),
        ],
        [
          stagedJoinMs > loadMs,
          () =>
            reportDoubtfulLimits(
              `${path}/models/${name}`,
              'a join with staged weights takes longer than a load',
            ),
        ],
      ]),
    ),
  ];
}

function listServiceFindings(service: ServiceSpec, usedNames: ReadonlySet<string>): Finding[] {
  const path = `services/${service.name}`;
  return [
    ...listProblems([
      [!usedNames.has(service.name), () => reportUnused(path, 'no route uses it')],
      [
        service.scalingProblem !== undefined,
        () => reportLimits(path, `its targets are not ordered: ${service.scalingProblem ?? ''}`),
      ],
      [
        service.coldRequestsPerSecond < 0,
        () => reportLimits(path, 'the limit of cold targets is negative'),
      ],
    ]),
    ...(service.engine === undefined ? [] : listEngineFindings(path, service.engine)),
  ];
}

function listCustomerFindings({ customers, routes }: ServingConfiguration): Finding[] {
  if (customers === undefined) return [];
  const ownerByKey = new Map<string, string>();
  const findings = customers.flatMap(({ name, keys }) => {
    const path = `customers/${name}`;
    const others = keys.flatMap((key) => ownerByKey.get(key) ?? []);
    keys.forEach((key) => ownerByKey.set(key, name));
    return [
      ...others.map((other) => reportNeverMatches(path, `shares a key with customer "${other}"`)),
      ...(keys.length === 0 ? [reportUnused(path, 'has no key')] : []),
    ];
  });
  const isAnyAllowed = ownerByKey.size > 0 || routes.some((route) => route.isAnonymousAllowed);
  if (routes.length > 0 && !isAnyAllowed) {
    findings.push(reportNeverMatches('customers', 'no key is declared: every request is denied'));
  }
  return findings;
}

function listCallerLimitFindings({ limits }: ServingConfiguration): Finding[] {
  const notPositive = Object.entries(limits).filter(([, value]) => !(value > 0));
  return [
    ...notPositive.map(([name]) => reportLimits('limits', `${name} is not positive`)),
    ...listProblems([
      [
        limits.headerTimeoutMs > limits.idleTimeoutMs,
        () =>
          reportDoubtfulLimits('limits', 'a connection counts as idle before its header is late'),
      ],
    ]),
  ];
}

/** Lists errors, entries that can never match, and limits that contradict each other. */
export function listFindings(configuration: ServingConfiguration): Finding[] {
  const { routes, services, customers = [] } = configuration;
  const serviceNames = new Set(services.map(({ name }) => name));
  const usedNames = new Set(
    routes.flatMap((route) => route.services.map(({ service }) => service)),
  );
  return [
    ...listDuplicateNames(
      'routes',
      routes.map(({ name }) => name),
    ),
    ...listDuplicateNames(
      'services',
      services.map(({ name }) => name),
    ),
    ...listDuplicateNames(
      'customers',
      customers.map(({ name }) => name),
    ),
    ...listHiddenRoutes(routes),
    ...routes.flatMap((route) => listRouteFindings(route, serviceNames)),
    ...services.flatMap((service) => listServiceFindings(service, usedNames)),
    ...listCustomerFindings(configuration),
    ...listCallerLimitFindings(configuration),
  ];
}

/** Reports a version that gateways would ignore, because it is not higher than the one in force. */
export function listVersionFindings(
  inForce: ServingConfiguration,
  configuration: ServingConfiguration,
): Finding[] {
  if (configuration.version > inForce.version) return [];
  const problem = `version ${configuration.version} is not higher than ${inForce.version}, which is in force`;
  return [{ severity: Severity.Error, kind: FindingKind.Version, path: 'version', problem }];
}
