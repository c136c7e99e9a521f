// Folders that other processes may read at any moment: each is written under a name of its own and gets its
// final name once it is complete, and it is not changed afterwards.
import {
  mkdirSync,
  mkdtempSync,
  readdirSync,
  renameSync,
  rmSync,
  statSync,
  utimesSync,
} from 'node:fs';
import { join } from 'node:path';

const STAGED_PREFIX = '.staged-';
/** Older staged folders are left by processes that were killed. */
const STAGED_AGE_MS = 3_600_000;
const MAX_ATTEMPTS = 5;
const OCCUPIED = new Set(['ENOTEMPTY', 'EEXIST']);

/** Passes a new folder to the function, and removes what is left of it afterwards. */
export async function withStagedFolder(parent, run) {
  mkdirSync(parent, { recursive: true });
  const folder = mkdtempSync(join(parent, STAGED_PREFIX));
  try {
    return await run(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Notes that a folder is in use now, so that older ones are removed before it. */
export function markAsUsed(folder) {
  const now = new Date();
  utimesSync(folder, now, now);
}

function tryRename(from, to) {
  try {
    renameSync(from, to);
    return undefined;
  } catch (error) {
    return error;
  }
}

/**
 * Gives a staged folder its final name. A sound folder of that name is kept instead, as another process may
 * have written it meanwhile; an unsound one is moved to `asideFolder`.
 */
export function moveFolder(staged, final, { isSound, asideFolder }) {
  for (let attempt = 1; ; attempt += 1) {
    const error = tryRename(staged, final);
    if (error === undefined || (OCCUPIED.has(error.code) && isSound(final))) break;
    if (!OCCUPIED.has(error.code) || attempt === MAX_ATTEMPTS) throw error;
    // Fails if another process has moved it, which the next attempt finds out.
    tryRename(final, join(asideFolder, `unsound-${attempt}`));
  }
  markAsUsed(final);
}

function measureAge(folder) {
  return Date.now() - (statSync(folder, { throwIfNoEntry: false })?.mtimeMs ?? 0);
}

function tryRemove(folder) {
  try {
    rmSync(folder, { recursive: true, force: true });
    return true;
  } catch (error) {
    console.error(`${folder} cannot be removed: ${error.message}`);
    return false;
  }
}

/**
 * Removes all folders but those named in `used` and the `keptCount` others that were used last. Prints what
 * cannot be removed, and returns the names of those removed.
 */
export function removeUnusedFolders(parent, { used, keptCount }) {
  const byAge = readdirSync(parent)
    .map((name) => ({ name, ageMs: measureAge(join(parent, name)) }))
    .sort((one, other) => one.ageMs - other.ageMs);
  const isStaged = ({ name }) => name.startsWith(STAGED_PREFIX);
  return [
    ...byAge.filter((one) => isStaged(one) && one.ageMs > STAGED_AGE_MS),
    ...byAge.filter((one) => !isStaged(one) && !used.has(one.name)).slice(keptCount),
  ]
    .map(({ name }) => name)
    .filter((name) => tryRemove(join(parent, name)));
}
