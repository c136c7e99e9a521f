// The builds of a program in an output folder. The files that a command loads lie in a folder a build, which is
// not changed after it was written. The entry file of a command names the build that starts, so that a start
// reads one build only, and is replaced by renaming.
import { execFile } from 'node:child_process';
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { computeDigest, computeFileDigests } from './digests.mjs';
import { markAsUsed, moveFolder, removeUnusedFolders, withStagedFolder } from './folders.mjs';

const BUILDS_FOLDER = 'builds';
const MANIFEST_FILE = 'build.json';
const ENTRY_SUFFIX = '.js';
/** Stands for the name of the build until its files, which decide on its name, are written. */
const UNNAMED_BUILD = 'build_without_name';
const BUILD_LINE = /^\/\/ Build (?<build>\w+)$/m;
/** Builds that stay for processes that were started from them and load further files. */
const KEPT_BUILDS = 8;
const START_LIMIT_MS = 60_000;

const runFile = promisify(execFile);

function readManifest(folder) {
  try {
    return JSON.parse(readFileSync(join(folder, MANIFEST_FILE), 'utf8'));
  } catch {
    return undefined;
  }
}

function formatManifest(manifest) {
  return `${JSON.stringify(manifest, null, 2)}\n`;
}

/** Tells whether the files in the folder of a build are those that were written. */
function isSound(folder) {
  const manifest = readManifest(folder);
  if (manifest === undefined) return false;
  try {
    const { [MANIFEST_FILE]: manifestDigest, ...files } = computeFileDigests(folder);
    return manifestDigest === computeDigest([formatManifest({ ...manifest, files })]);
  } catch {
    // Another process has moved the folder meanwhile.
    return false;
  }
}

function readEntry(file) {
  const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
  const build = BUILD_LINE.exec(text)?.groups.build;
  const unnamedText = build === undefined ? text : text.replaceAll(build, UNNAMED_BUILD);
  return { build, digest: computeDigest([unnamedText]) };
}

/** Throws if an entry file does not start. */
async function checkStart(file) {
  await runFile(process.execPath, [file, '--help'], {
    env: { ...process.env, NODE_OPTIONS: '' },
    timeout: START_LIMIT_MS,
    killSignal: 'SIGKILL',
  });
}

/** Opens the builds in an output folder, which is created with the first build. */
export function openProgramStore(outputFolder) {
  const buildsFolder = join(outputFolder, BUILDS_FOLDER);
  const formatEntryName = ({ name }) => `${name}${ENTRY_SUFFIX}`;
  const getEntryFile = (command) => join(outputFolder, formatEntryName(command));

  function listUsedBuilds() {
    const entryFiles = readdirSync(outputFolder).filter((name) => name.endsWith(ENTRY_SUFFIX));
    return new Set(entryFiles.map((name) => readEntry(join(outputFolder, name)).build));
  }

  function replaceEntry(stagedFile, entryFile, build) {
    const before = readEntry(entryFile).build;
    const text = readFileSync(stagedFile, 'utf8').replaceAll(UNNAMED_BUILD, build);
    if (existsSync(entryFile) && readFileSync(entryFile, 'utf8') === text) return;
    writeFileSync(stagedFile, text);
    if (before !== undefined && existsSync(join(buildsFolder, before))) {
      markAsUsed(join(buildsFolder, before));
    }
    renameSync(stagedFile, entryFile);
    console.log(`${entryFile} starts build ${build}, before ${before ?? 'none'}`);
  }

  return {
    /** Returns the names of the builds that the commands start; undefined stands for none. */
    findBuilds: (commands) => commands.map((command) => readEntry(getEntryFile(command)).build),

    /** Tells whether all commands are sound and were built from these sources. */
    isBuiltFrom(commands, sources) {
      return commands.every((command) => {
        const { build, digest } = readEntry(getEntryFile(command));
        if (build === undefined) return false;
        const folder = join(buildsFolder, build);
        const manifest = readManifest(folder);
        const isOfEntry = manifest?.entries[formatEntryName(command)] === digest;
        return isOfEntry && manifest.sources === sources && isSound(folder);
      });
    },

    /**
     * Lets `bundle` write the commands into a folder, checks with `needsCheck` that they start from there, and
     * lets them start from it from now on. `bundle` is told the subfolder for all but the entry files and a last line for these, and
     * returns the digest of the sources. Returns the name of the build.
     */
    async replace(commands, { bundle, needsCheck }) {
      return withStagedFolder(buildsFolder, async (staged) => {
        const chunkFolder = `${BUILDS_FOLDER}/${UNNAMED_BUILD}`;
        const folder = join(staged, chunkFolder);
        mkdirSync(folder, { recursive: true });
        const sources = await bundle({
          outputFolder: staged,
          chunkFolder,
          entryFooter: `// Build ${UNNAMED_BUILD}\n`,
        });
        const stagedFiles = commands.map((command) => join(staged, formatEntryName(command)));
        if (needsCheck) await Promise.all(stagedFiles.map(checkStart));
        const entries = Object.fromEntries(
          commands.map((command, at) => [
            formatEntryName(command),
            computeDigest([readFileSync(stagedFiles[at], 'utf8')]),
          ]),
        );
        const manifest = formatManifest({ sources, entries, files: computeFileDigests(folder) });
        writeFileSync(join(folder, MANIFEST_FILE), manifest);
        const build = computeDigest([manifest]);
        moveFolder(folder, join(buildsFolder, build), { isSound, asideFolder: staged });
        commands.forEach((command, at) => {
          replaceEntry(stagedFiles[at], getEntryFile(command), build);
        });
        const removed = removeUnusedFolders(buildsFolder, {
          used: listUsedBuilds(),
          keptCount: KEPT_BUILDS,
        });
        if (removed.length > 0) console.log(`removed ${removed.length} older builds`);
        return build;
      });
    },
  };
}
