/* eslint-disable import-x/extensions -- Node.js needs the extensions. */
// An order to open a group is carried out late, after the group was closed and before its engines are used again.
import { fileURLToPath } from 'node:url';
import { playGroups } from '../stand-ins-2/groups.mjs';

const IS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'sofia-a';
const OUT_MS = 4000;
/** The pages allow 2 to 12 s. */
const LATE_MS = 6000;
/** How long orders may be late, as in the day. */
const LATE_FOR_MS = 5500;

let lateUntilMs = 0;

function planOrder(engine, order, count) {
  const isLate = Date.now() < lateUntilMs && engine.zone === ZONE;
  return isLate && order.operation === 'open' && count === 1 ? LATE_MS : undefined;
}

async function play({ setEvacuated, countOpen, wait }) {
  const takeOut = async () => {
    setEvacuated(ZONE, true);
    await wait(OUT_MS);
    if (IS_TROUBLE && lateUntilMs === 0) lateUntilMs = Date.now() + LATE_FOR_MS;
    setEvacuated(ZONE, false);
  };
  await wait(1000);
  await takeOut();
  await wait(4000);
  if (countOpen(ZONE) === 0) throw new Error('no group was formed after the zone came back');
  await takeOut();
  await wait(5000);
}

process.exitCode = await playGroups({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  planOrder,
  play,
});
