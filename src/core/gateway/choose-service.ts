import type { CustomerRoute } from '../serving/index.ts';

/** Chooses a service of the route at random by weight; `random` returns a number in [0, 1). */
export function chooseService(route: CustomerRoute, random: () => number): string | undefined {
  const [first] = route.services;
  if (route.services.length <= 1) return first?.service;
  const total = route.services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let remainingWeight = random() * total;
  for (const { service, weight } of route.services) {
    remainingWeight -= Math.max(0, weight);
    if (remainingWeight < 0) return service;
  }
  return first?.service;
}
