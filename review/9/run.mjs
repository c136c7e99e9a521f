/* eslint-disable import-x/extensions -- Node.js needs the extensions. */
// A late order to open a group is carried out while the order to join another one is being repeated.
import { fileURLToPath } from 'node:url';
import { playGroups } from '../stand-ins-2/groups.mjs';

const IS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'sofia-a';
/** The pages allow 2 to 12 s. */
const LATE_OPEN_MS = 8700;
const LATE_JOIN_MS = 6000;
/** How long the zone serves between its evacuations; the first one only starts the play. */
const SERVING_MS = 1300;
const FIRST_OUT_MS = 2000;
/** More than the 6 s for which the leader remembers that it has closed a group. */
const OUT_MS = 7600;

const heads = new Set();
let openedMs;

/** Returns the delay of an order that is carried out late. */
function planOrder(engine, order, count) {
  if (!IS_TROUBLE || engine.zone !== ZONE || count > 1) return undefined;
  if (order.operation === 'open' && openedMs === 0) {
    heads.add(engine.id);
    return LATE_OPEN_MS;
  }
  return order.operation === 'join' && heads.has(engine.id) ? LATE_JOIN_MS : undefined;
}

async function play({ setEvacuated, countOpen, wait }) {
  await wait(1000);
  setEvacuated(ZONE, true);
  await wait(FIRST_OUT_MS);
  openedMs = 0;
  setEvacuated(ZONE, false);
  await wait(SERVING_MS);
  openedMs = Date.now();
  if (countOpen(ZONE) === 0) throw new Error('no group was formed after the zone came back');
  setEvacuated(ZONE, true);
  await wait(OUT_MS);
  setEvacuated(ZONE, false);
  await wait(9000);
}

const folder = fileURLToPath(new URL('.', import.meta.url));
process.exitCode = await playGroups({ folder, planOrder, play });
