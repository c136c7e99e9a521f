// Digests by which builds and installed packages are recognised.
import { createHash } from 'node:crypto';
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';

/** All that decides on a program besides the packages that the lock file names. */
const SOURCES = ['src', 'scripts/build', 'scripts/build.mjs', 'tsconfig.json'];
const PACKAGE_FILES = ['package.json', 'package-lock.json'];
const SHORT_LENGTH = 16;

/** Returns a short digest of texts or buffers. */
export function computeDigest(parts) {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(part).update('\0'));
  return hash.digest('hex').slice(0, SHORT_LENGTH);
}

/** Lists the files in a folder and its subfolders in a fixed order; a file lists itself. */
function listFiles(path) {
  if (!existsSync(path)) return [];
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path, { recursive: true, withFileTypes: true })
    .filter((entry) => !entry.isDirectory())
    .map((entry) => join(entry.parentPath, entry.name))
    .sort();
}

function computeContentDigest(paths) {
  return computeDigest(paths.flatMap(listFiles).flatMap((file) => [file, readFileSync(file)]));
}

/** Returns the digest of the packages that the lock file in the working folder names. */
export function computeLockDigest() {
  return computeContentDigest(PACKAGE_FILES);
}

/** Returns the digest of all that the program in the working folder is built from. */
export function computeSourcesDigest() {
  return computeContentDigest([...SOURCES, ...PACKAGE_FILES]);
}

/** Returns the digest of the names and sizes of all files in a folder. */
export function computeSizesDigest(folder) {
  const formatFile = (file) =>
    `${file.slice(folder.length)} ${statSync(file, { throwIfNoEntry: false })?.size}`;
  return computeDigest(listFiles(folder).map(formatFile));
}

/** Returns the digest of each file in a folder, by its name. */
export function computeFileDigests(folder) {
  return Object.fromEntries(
    listFiles(folder).map((file) => [
      file.slice(folder.length + 1),
      computeDigest([readFileSync(file)]),
    ]),
  );
}
