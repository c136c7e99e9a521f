import type { EngineGroup, Target } from '../fleet/index.ts';
import { GroupState, isWhole } from '../fleet/index.ts';
import type { EngineSpec, ModelSpec } from '../serving/index.ts';

/** What is known when the groups of a service are planned. */
export interface FormationInput {
  spec: EngineSpec;
  engines: readonly Target[];
  groups: readonly EngineGroup[];
  /** Engines and groups that an order is under way for. */
  busyEngineIds: ReadonlySet<string>;
  /** Models that operations under way are forming, once per group. */
  formingModels: readonly string[];
  /** Engines that answer nobody, although they may have an entry. */
  unreachableIds: ReadonlySet<string>;
  /** Engines whose group may still be open at a head without an entry. */
  heldIds: ReadonlySet<string>;
  /** Engines that are staging a model, with that model. */
  staging: ReadonlyMap<string, string>;
  isZoneOut(availabilityZone: string): boolean;
  /** Whether loads are cheap and uncounted, because no request has arrived yet. */
  isBeforeTraffic: boolean;
  /** Loads that may start now. */
  loadBudget: number;
  /** Share of the engines that each model should have, by model name. */
  engineShares: ReadonlyMap<string, number>;
}

/** One step of the plan. */
export type FormationAction =
  | { kind: 'form'; model: ModelSpec; members: Target[] }
  /** Ends a group that lost a member or has to leave. */
  | { kind: 'dissolve'; group: EngineGroup }
  | { kind: 'stage'; engine: Target; model: ModelSpec };

function hasWarm(engine: Target, model: string): boolean {
  return engine.loadedModel === model || engine.stagedModels.includes(model);
}

/** Orders engines of a domain so that those which join fastest come first. */
function compareForModel(model: string): (left: Target, right: Target) => number {
  const rank = (engine: Target): number => {
    if (engine.loadedModel === model) return 0;
    return engine.stagedModels.includes(model) ? 1 : 2;
  };
  return (left, right) => rank(left) - rank(right) || (left.id < right.id ? -1 : 1);
}

function isHealthyMember(engine: Target, input: FormationInput): boolean {
  if (engine.isDraining || input.isZoneOut(engine.availabilityZone)) return false;
  return !input.unreachableIds.has(engine.id);
}

/** Groups that serve but should not: a member is missing, unreachable or leaving. */
function planDissolutions(input: FormationInput): FormationAction[] {
  const sizes = new Map(input.spec.models.map((model) => [model.name, model.groupSize]));
  return input.groups
    .filter((group) => {
      const { head } = group;
      if (head?.group?.state !== GroupState.Open || input.busyEngineIds.has(head.id)) return false;
      if (input.unreachableIds.has(head.id)) return false;
      const size = sizes.get(group.model ?? '') ?? 0;
      return !isWhole(group, size) || !group.members.every((one) => isHealthyMember(one, input));
    })
    .map((group): FormationAction => ({ kind: 'dissolve', group }));
}

/** States of a head in which its group takes requests or finishes them. */
const ACTIVE_STATES: ReadonlySet<GroupState> = new Set([GroupState.Open, GroupState.Closing]);

function listFreeEngines(input: FormationInput): Target[] {
  const active = new Set(
    input.groups
      .filter(({ head }) => head?.group !== undefined && ACTIVE_STATES.has(head.group.state))
      .flatMap(({ members }) => members.map((member) => member?.id)),
  );
  return input.engines.filter(
    (engine) =>
      isHealthyMember(engine, input) &&
      !active.has(engine.id) &&
      !input.heldIds.has(engine.id) &&
      !input.busyEngineIds.has(engine.id),
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

/** Spreads domains over zones, so that the first domains of all zones come first. */
function listDomainsAcrossZones(domains: Map<string, Target[]>): [string, Target[]][] {
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

/** Groups that a model should have, from its share of the engines. */
function computeWantedGroups(input: FormationInput, model: ModelSpec): number {
  const usable = input.engines.filter((engine) => isHealthyMember(engine, input)).length;
  const share = input.engineShares.get(model.name) ?? 0;
  return Math.max(1, Math.floor((share * usable) / model.groupSize));
}

/** Counts the groups that serve a model or are being formed for it. */
function countGroups(input: FormationInput): Map<string, number> {
  const counts = new Map(input.spec.models.map(({ name }) => [name, 0]));
  const add = (name: string | undefined): void => {
    if (name !== undefined && counts.has(name)) counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  input.groups
    .filter(({ head }) => head?.group?.state === GroupState.Open)
    .forEach(({ model }) => add(model));
  input.formingModels.forEach(add);
  return counts;
}

/** Forms as many groups as the free engines of one domain allow, most wanted model first. */
function planDomain(
  input: FormationInput,
  free: readonly Target[],
  counts: Map<string, number>,
): FormationAction[] {
  const actions: FormationAction[] = [];
  let rest = [...free];
  for (;;) {
    const choice = input.spec.models
      .map((model) => {
        const able = rest
          .filter((one) => hasWarm(one, model.name) || input.isBeforeTraffic)
          .sort(compareForModel(model.name));
        const satisfied = (counts.get(model.name) ?? 0) / computeWantedGroups(input, model);
        return { model, able, satisfied };
      })
      .filter(({ model, able }) => able.length >= model.groupSize)
      .sort(
        (left, right) =>
          Number(left.satisfied >= 1) - Number(right.satisfied >= 1) ||
          (input.isBeforeTraffic ? right.model.groupSize - left.model.groupSize : 0) ||
          left.satisfied - right.satisfied,
      )[0];
    if (choice === undefined) return actions;
    const members = choice.able.slice(0, choice.model.groupSize);
    const taken = new Set(members);
    rest = rest.filter((one) => !taken.has(one));
    counts.set(choice.model.name, (counts.get(choice.model.name) ?? 0) + 1);
    actions.push({ kind: 'form', model: choice.model, members });
  }
}

/** Stages the model that an engine cannot join quickly, most wanted model first. */
function planStaging(
  input: FormationInput,
  freeIds: ReadonlySet<string>,
  counts: ReadonlyMap<string, number>,
): FormationAction[] {
  const models = [...input.spec.models].sort(
    (left, right) =>
      (counts.get(left.name) ?? 0) / computeWantedGroups(input, left) -
      (counts.get(right.name) ?? 0) / computeWantedGroups(input, right),
  );
  const candidates = input.engines
    .filter((one) => isHealthyMember(one, input) && !input.staging.has(one.id))
    .filter((one) => !input.busyEngineIds.has(one.id))
    .map((engine) => ({
      engine,
      model: models.find((model) => !hasWarm(engine, model.name)),
      isEmpty: models.every((model) => !hasWarm(engine, model.name)),
    }))
    .filter(({ engine, isEmpty }) => isEmpty || engine.loadedModel !== undefined);
  candidates.sort(
    (left, right) =>
      Number(right.isEmpty) - Number(left.isEmpty) ||
      Number(freeIds.has(right.engine.id)) - Number(freeIds.has(left.engine.id)),
  );
  return candidates
    .filter(({ engine, isEmpty }) => isEmpty || freeIds.has(engine.id) || input.isBeforeTraffic)
    .flatMap(({ engine, model }): FormationAction[] =>
      model === undefined ? [] : [{ kind: 'stage', engine, model }],
    )
    .slice(0, Math.max(0, input.loadBudget));
}

/**
 * Plans the next steps for the engines of one service. Free engines of a fabric domain form groups
 * of the model that lacks most; engines without weights stage what is most wanted.
 */
export function planFormation(input: FormationInput): FormationAction[] {
  const counts = countGroups(input);
  const free = listFreeEngines(input);
  const domains = listDomainsAcrossZones(groupByDomain(free));
  const forms = domains.flatMap(([, engines]) => planDomain(input, engines, counts));
  const formed = new Set(
    forms.flatMap((action) => (action.kind === 'form' ? action.members.map(({ id }) => id) : [])),
  );
  const rest = new Set(free.map(({ id }) => id).filter((id) => !formed.has(id)));
  const stages = planStaging(
    { ...input, busyEngineIds: new Set([...input.busyEngineIds, ...formed]) },
    rest,
    counts,
  );
  return [...planDissolutions(input), ...forms, ...stages];
}
