import type { EngineGroup, Target } from '../fleet/index.ts';
import { ACTIVE_HEAD_STATES, GroupState, areAllMembersOperational } from '../fleet/index.ts';
import type { EngineSpec, ModelSpec } from '../serving/index.ts';

/** Input of one planning run for the groups of a service. */
export interface FormationInput {
  spec: EngineSpec;
  engines: readonly Target[];
  groups: readonly EngineGroup[];
  /** Engines that an operation in progress uses, or whose entry does not show the ordered join yet. */
  reservedEngineIds: ReadonlySet<string>;
  /** Models of the groups that operations in progress are forming, one element per group. */
  formingModels: readonly string[];
  /** Engines that recently did not respond or failed an order, although they may have an entry. */
  excludedIds: ReadonlySet<string>;
  /** Engines whose group may still be open although the entries do not show it. */
  possiblyOpenIds: ReadonlySet<string>;
  /** Model that is being staged, by engine. */
  staging: ReadonlyMap<string, string>;
  isZoneEvacuated(availabilityZone: string): boolean;
  /**
   * Whether this is the first start and no request has arrived yet. Loads are then cheap, as no
   * request waits for them or for the engines, and their rate is not limited.
   */
  isInitialFormation: boolean;
  /** Number of loads that may start now. */
  loadBudget: number;
  /** Model that the free engines of a fabric domain wait for, by domain. */
  reservedModelByDomain: ReadonlyMap<string, string>;
  countInFlight(targetId: string): number;
  /** Share of the engines that each model should have, from 0 to 1, by model name. */
  engineShares: ReadonlyMap<string, number>;
}

/**
 * Minimum lead in coverage that the model of a retired group keeps over the model that gets the
 * engines, as covered before the change. Without it, engines would oscillate between models.
 */
const RETIREMENT_COVERAGE_MARGIN = 0.05;

/**
 * One action of a plan. To close a group is to order its head to stop serving it; the plan closes a
 * group by dissolving or by retiring it.
 */
export type FormationAction =
  /** Joins free engines to a group and opens it. */
  | { kind: 'form'; model: ModelSpec; members: Target[] }
  /**
   * Closes a group that lost a member, or that has a member which must not be used: at once, or after
   * its requests are done if all its members can still work.
   */
  | { kind: 'dissolve'; group: EngineGroup; isGraceful: boolean }
  /** Closes a group after its requests are done, so that its engines can serve `model`. */
  | { kind: 'retire'; group: EngineGroup; model: ModelSpec }
  /** Loads the weights of a model onto the engine's host. */
  | { kind: 'stage'; engine: Target; model: ModelSpec };

function hasWeights(engine: Target, model: string): boolean {
  return engine.currentModel === model || engine.stagedModels.includes(model);
}

/** Creates a comparator that sorts engines by how fast they can join, fastest first. */
function createJoinSpeedComparator(model: string): (left: Target, right: Target) => number {
  const joinCost = (engine: Target): number => {
    if (engine.currentModel === model) return 0;
    return engine.stagedModels.includes(model) ? 1 : 2;
  };
  return (left, right) => joinCost(left) - joinCost(right) || (left.id < right.id ? -1 : 1);
}

function isHealthyMember(engine: Target, input: FormationInput): boolean {
  if (engine.isLeaving || input.isZoneEvacuated(engine.availabilityZone)) return false;
  return !input.excludedIds.has(engine.id);
}

/** Whether all members of a group work until its requests are done, although some are leaving. */
function canFinishRequests(input: FormationInput, group: EngineGroup, size: number): boolean {
  return (
    areAllMembersOperational(group, size) &&
    group.membersByRank.every((one) => isHealthyMember({ ...one, isLeaving: false }, input))
  );
}

/**
 * Plans to dissolve open groups that have a missing, excluded or leaving member, or one in an
 * evacuated zone. Skips groups whose head is reserved or excluded.
 */
function planDissolutions(input: FormationInput): FormationAction[] {
  const sizes = new Map(input.spec.models.map((model) => [model.name, model.groupSize]));
  return input.groups
    .filter((group) => {
      const { headEngine } = group;
      if (
        headEngine?.group?.state !== GroupState.Open ||
        input.reservedEngineIds.has(headEngine.id)
      )
        return false;
      if (input.excludedIds.has(headEngine.id)) return false;
      const size = sizes.get(group.model ?? '') ?? 0;
      return (
        !areAllMembersOperational(group, size) ||
        !group.membersByRank.every((one) => isHealthyMember(one, input))
      );
    })
    .map((group): FormationAction => {
      const size = sizes.get(group.model ?? '') ?? 0;
      return { kind: 'dissolve', group, isGraceful: canFinishRequests(input, group, size) };
    });
}

function listFreeEngines(input: FormationInput): Target[] {
  const active = new Set(
    input.groups
      .filter(({ headEngine }) => ACTIVE_HEAD_STATES.has(headEngine?.group?.state))
      .flatMap(({ membersByRank }) => membersByRank.map((member) => member?.id)),
  );
  return input.engines.filter(
    (engine) =>
      isHealthyMember(engine, input) &&
      !active.has(engine.id) &&
      !input.possiblyOpenIds.has(engine.id) &&
      !input.reservedEngineIds.has(engine.id),
  );
}

function groupByDomain(engines: readonly Target[]): Map<string, Target[]> {
  const domains = new Map<string, Target[]>();
  for (const engine of engines) {
    const list = domains.get(engine.fabricDomain) ?? [];
    list.push(engine);
    domains.set(engine.fabricDomain, list);
  }
  return domains;
}

/** Orders domains so that zones take turns: the first domain of each zone, then the second. */
function interleaveDomainsByZone(domains: Map<string, Target[]>): [string, Target[]][] {
  const countByZone = new Map<string, number>();
  return [...domains]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, engines]) => {
      const zone = engines[0]?.availabilityZone ?? '';
      const position = countByZone.get(zone) ?? 0;
      countByZone.set(zone, position + 1);
      return { name, engines, position };
    })
    .sort((left, right) => left.position - right.position)
    .map(({ name, engines }) => [name, engines]);
}

/** Returns the number of groups that a model should have, from its share of the engines. */
function computeDesiredGroups(input: FormationInput, model: ModelSpec): number {
  const usable = input.engines.filter((engine) => isHealthyMember(engine, input)).length;
  const share = input.engineShares.get(model.name) ?? 0;
  return Math.max(1, Math.floor((share * usable) / model.groupSize));
}

/**
 * Counts the groups of each model: those that are open, those that are being formed, and one for
 * each fabric domain that is reserved for the model.
 */
function countGroups(input: FormationInput): Map<string, number> {
  const counts = new Map(input.spec.models.map(({ name }) => [name, 0]));
  const add = (name: string | undefined): void => {
    if (name !== undefined && counts.has(name)) counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  input.groups
    .filter(({ headEngine }) => headEngine?.group?.state === GroupState.Open)
    .forEach(({ model }) => add(model));
  input.formingModels.forEach(add);
  input.reservedModelByDomain.forEach(add);
  return counts;
}

/** A model as a candidate for the free engines of a domain. */
interface ModelChoice {
  model: ModelSpec;
  /** Free engines that can join without a long load, fastest first. */
  joinableEngines: Target[];
  /** Groups that the model has, divided by the groups that it should have. */
  coverage: number;
}

/** Lists the models as candidates for a domain, the least covered model first. */
function listChoices(
  input: FormationInput,
  free: readonly Target[],
  counts: ReadonlyMap<string, number>,
): ModelChoice[] {
  return input.spec.models
    .map((model) => ({
      model,
      joinableEngines: free
        .filter((one) => hasWeights(one, model.name) || input.isInitialFormation)
        .sort(createJoinSpeedComparator(model.name)),
      coverage: (counts.get(model.name) ?? 0) / computeDesiredGroups(input, model),
    }))
    .sort(
      (left, right) =>
        Number(left.coverage >= 1) - Number(right.coverage >= 1) ||
        // During the initial formation large groups come first: they need whole domains that are
        // free of small ones. When a domain with only large groups loses engines, the remaining
        // ones can form a large group again.
        (input.isInitialFormation ? right.model.groupSize - left.model.groupSize : 0) ||
        left.coverage - right.coverage,
    );
}

/**
 * Plans the groups that the free engines of one domain can form, least covered model first, or the
 * retirements that make room for a group of the least covered model. Adds the planned groups to
 * `counts`.
 */
function planDomain(
  input: FormationInput,
  free: readonly Target[],
  counts: Map<string, number>,
): FormationAction[] {
  const domain = free[0]?.fabricDomain ?? '';
  const choices = listChoices(input, free, counts);
  const reservedModel = input.reservedModelByDomain.get(domain);
  if (reservedModel !== undefined) return planReservedDomain(choices, reservedModel);
  const choice = choices.find(
    ({ model, joinableEngines }) => joinableEngines.length >= model.groupSize,
  );
  const [leastCovered] = choices;
  const isRetirementNeeded =
    leastCovered !== undefined && leastCovered.coverage < 1 && leastCovered !== choice;
  if (isRetirementNeeded && !input.isInitialFormation) {
    const retirements = planRetirements(input, leastCovered, domain, counts);
    if (retirements.length > 0) return retirements;
  }
  if (choice === undefined) return [];
  const members = choice.joinableEngines.slice(0, choice.model.groupSize);
  const rest = free.filter((one) => !members.includes(one));
  counts.set(choice.model.name, (counts.get(choice.model.name) ?? 0) + 1);
  return [{ kind: 'form', model: choice.model, members }, ...planDomain(input, rest, counts)];
}

/** Plans the group for which a domain retired others; until then its free engines wait. */
function planReservedDomain(
  choices: readonly ModelChoice[],
  reservedModel: string,
): FormationAction[] {
  const choice = choices.find(({ model }) => model.name === reservedModel);
  if (choice === undefined || choice.joinableEngines.length < choice.model.groupSize) return [];
  const members = choice.joinableEngines.slice(0, choice.model.groupSize);
  return [{ kind: 'form', model: choice.model, members }];
}

/**
 * Plans to retire groups of better covered models if their engines then suffice for a group of the
 * wanted model. Adds that group to `counts`.
 */
function planRetirements(
  input: FormationInput,
  wantedChoice: ModelChoice,
  domain: string,
  counts: Map<string, number>,
): FormationAction[] {
  const { model } = wantedChoice;
  const actions: FormationAction[] = [];
  let available = wantedChoice.joinableEngines.length;
  // Each retirement lowers the coverage that the next one is checked against.
  const remaining = new Map(counts);
  while (available < model.groupSize) {
    const [group] = listRetirableGroups(input, model, domain, remaining).filter(
      (one) => !actions.some((action) => action.kind === 'retire' && action.group === one),
    );
    if (group?.model === undefined) return [];
    remaining.set(group.model, (remaining.get(group.model) ?? 0) - 1);
    available += group.membersByRank.length;
    actions.push({ kind: 'retire', group, model });
  }
  remaining.forEach((count, name) => counts.set(name, count));
  counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
  return actions;
}

/**
 * Lists groups of a domain whose model stays better covered without them, fewest requests in
 * progress first. Only groups smaller than a group of the wanted model are retired.
 */
function listRetirableGroups(
  input: FormationInput,
  wantedModel: ModelSpec,
  domain: string,
  counts: ReadonlyMap<string, number>,
): EngineGroup[] {
  const coverage = (counts.get(wantedModel.name) ?? 0) / computeDesiredGroups(input, wantedModel);
  return input.groups
    .filter((group) => {
      const spec = input.spec.models.find(({ name }) => name === group.model);
      // When a large group loses a member, its surviving engines form small groups anyway.
      if (spec === undefined || spec.groupSize >= wantedModel.groupSize) return false;
      if (group.fabricDomain !== domain || group.headEngine?.group?.state !== GroupState.Open) {
        return false;
      }
      const remainingCoverage =
        ((counts.get(spec.name) ?? 0) - 1) / computeDesiredGroups(input, spec);
      return (
        remainingCoverage >= coverage + RETIREMENT_COVERAGE_MARGIN &&
        group.membersByRank.every(
          (one) =>
            hasWeights(one, wantedModel.name) &&
            isHealthyMember(one, input) &&
            !input.reservedEngineIds.has(one.id),
        )
      );
    })
    .sort(
      (left, right) =>
        input.countInFlight(left.headEngine?.id ?? '') -
        input.countInFlight(right.headEngine?.id ?? ''),
    );
}

/** Plans to stage models on engines that do not have their weights, least covered model first. */
function planStaging(
  input: FormationInput,
  freeIds: ReadonlySet<string>,
  counts: ReadonlyMap<string, number>,
): FormationAction[] {
  const models = [...input.spec.models].sort(
    (left, right) =>
      (counts.get(left.name) ?? 0) / computeDesiredGroups(input, left) -
      (counts.get(right.name) ?? 0) / computeDesiredGroups(input, right),
  );
  const candidates = input.engines
    .filter((one) => isHealthyMember(one, input) && !input.staging.has(one.id))
    .filter((one) => !input.reservedEngineIds.has(one.id))
    .map((engine) => ({
      engine,
      model: models.find((model) => !hasWeights(engine, model.name)),
      isEmpty: models.every((model) => !hasWeights(engine, model.name)),
    }))
    .filter(({ engine, isEmpty }) => isEmpty || engine.currentModel !== undefined);
  candidates.sort(
    (left, right) =>
      Number(right.isEmpty) - Number(left.isEmpty) ||
      Number(freeIds.has(right.engine.id)) - Number(freeIds.has(left.engine.id)),
  );
  return candidates
    .filter(({ engine, isEmpty }) => isEmpty || freeIds.has(engine.id) || input.isInitialFormation)
    .flatMap(({ engine, model }): FormationAction[] =>
      model === undefined ? [] : [{ kind: 'stage', engine, model }],
    )
    .slice(0, Math.max(0, input.loadBudget));
}

/**
 * Plans the next actions for the engines of one service. Free engines of a fabric domain form
 * groups of the least covered model; engines without weights stage the least covered model.
 */
export function planFormation(input: FormationInput): FormationAction[] {
  const counts = countGroups(input);
  const free = listFreeEngines(input);
  const domains = interleaveDomainsByZone(groupByDomain(free));
  const domainActions = domains.flatMap(([, engines]) => planDomain(input, engines, counts));
  const formed = new Set(
    domainActions.flatMap((action) =>
      action.kind === 'form' ? action.members.map(({ id }) => id) : [],
    ),
  );
  const rest = new Set(free.map(({ id }) => id).filter((id) => !formed.has(id)));
  const stages = planStaging(
    { ...input, reservedEngineIds: new Set([...input.reservedEngineIds, ...formed]) },
    rest,
    counts,
  );
  return [...planDissolutions(input), ...domainActions, ...stages];
}
