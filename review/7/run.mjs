/* eslint-disable import-x/extensions, no-plusplus, no-await-in-loop -- Node.js needs the extensions; rounds follow each other. */
// Heads of groups that are being formed lose the store for 10 s; their members are used again after 10 s.
import { fileURLToPath } from 'node:url';
import { playGroups } from '../stand-ins-2/groups.mjs';

const IS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'sofia-a';
const OUT_MS = 4000;
const CUT_MS = 10_000;
/** The cut begins this long before the zone comes back. */
const CUT_AHEAD_MS = 100;
const ROUNDS = 3;
/** Two of twelve engines, which is less than the share of 0.22. */
const CUT_IDS = [`i-${ZONE}-1`, `i-${ZONE}-3`];

async function play({ engines, setEvacuated, wait }) {
  for (let round = 0; round < ROUNDS; round++) {
    await wait(2000);
    setEvacuated(ZONE, true);
    await wait(OUT_MS - CUT_AHEAD_MS);
    if (IS_TROUBLE) engines.setCut(CUT_IDS, true);
    await wait(CUT_AHEAD_MS);
    setEvacuated(ZONE, false);
    await wait(CUT_MS - CUT_AHEAD_MS);
    if (IS_TROUBLE) engines.setCut(CUT_IDS, false);
    await wait(4000);
  }
}

process.exitCode = await playGroups({ folder: fileURLToPath(new URL('.', import.meta.url)), play });
