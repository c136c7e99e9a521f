// Installs the packages that a deployment needs, apart from those of a developer's checkout. An installation
// is used only if it was completed for the same lock file, platform and major version of Node.js. Those of the
// checkout are used if nothing can be installed.
import { spawnSync } from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  realpathSync,
  writeFileSync,
} from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { computeLockDigest, computeSizesDigest } from './digests.mjs';
import { markAsUsed, moveFolder, removeUnusedFolders, withStagedFolder } from './folders.mjs';

const COPIED_FILES = ['package.json', 'package-lock.json', '.npmrc'];
const MODULES_FOLDER = 'node_modules';
/** Written after all packages; holds the digest of the names and sizes of their files. */
const MARKER_FILE = 'complete.txt';
const INSTALL_PARAMETERS = [
  'ci',
  '--omit=dev',
  '--ignore-scripts',
  '--prefer-offline',
  '--no-audit',
  '--no-fund',
  '--loglevel=error',
];
/** Leaves time for the build, which has 15 minutes in all. */
const INSTALL_LIMIT_MS = 600_000;
const PROBE = 'require(process.argv[1]).transformSync("")';
const PROBE_LIMIT_MS = 60_000;
/** Installations for other lock files or machines that stay. */
const KEPT_INSTALLATIONS = 2;

function runCommand(command, parameters, options) {
  const { error, status, signal, stdout, stderr } = spawnSync(command, parameters, {
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'pipe'],
    killSignal: 'SIGKILL',
    ...options,
  });
  const isDone = error === undefined && status === 0;
  const end = error?.message ?? `ended with ${signal ?? `status ${status}`}`;
  return isDone ? undefined : `${command} ${end}\n${stdout ?? ''}${stderr ?? ''}`.trim();
}

function findBundlerFlaw(folder) {
  const bundler = resolve(folder, MODULES_FOLDER, 'esbuild');
  const failure = runCommand(process.execPath, ['-e', PROBE, bundler], { timeout: PROBE_LIMIT_MS });
  return failure === undefined ? undefined : `the bundler does not run: ${failure}`;
}

function hasAllFiles(folder) {
  const marked = readFileSync(join(folder, MARKER_FILE), 'utf8');
  return marked === computeSizesDigest(join(folder, MODULES_FOLDER));
}

/** Returns why the packages in a folder can't be used, or undefined. */
function findFlaw(folder) {
  if (!existsSync(folder)) return 'none are installed for this lock file and machine';
  try {
    if (!hasAllFiles(folder)) return 'files have changed';
  } catch (error) {
    return `files are missing: ${error.message}`;
  }
  return findBundlerFlaw(folder);
}

function installInto(folder) {
  mkdirSync(folder);
  COPIED_FILES.filter(existsSync).forEach((file) => copyFileSync(file, join(folder, file)));
  const failure = runCommand('npm', INSTALL_PARAMETERS, { cwd: folder, timeout: INSTALL_LIMIT_MS });
  if (failure !== undefined) throw new Error(`The packages cannot be installed: ${failure}`);
  writeFileSync(join(folder, MARKER_FILE), computeSizesDigest(join(folder, MODULES_FOLDER)));
  const flaw = findFlaw(folder);
  if (flaw !== undefined) throw new Error(`The packages were installed, but ${flaw}`);
}

function readPackageList(file) {
  return Object.entries(JSON.parse(readFileSync(file, 'utf8')).packages);
}

/** Returns why a program can't be built with the packages of the checkout, or undefined. */
function findCheckoutFlaw() {
  try {
    // npm writes this list after all packages.
    const installed = new Map(readPackageList(join(MODULES_FOLDER, '.package-lock.json')));
    const missing = readPackageList('package-lock.json')
      .filter(([path, { dev, optional }]) => path !== '' && !dev && !optional)
      .find(
        ([path, { integrity }]) =>
          installed.get(path)?.integrity !== integrity || !existsSync(join(path, 'package.json')),
      );
    return missing === undefined ? findBundlerFlaw('.') : `${missing[0]} is missing`;
  } catch (error) {
    return `their installation was not completed: ${error.message}`;
  }
}

async function installAs(final) {
  const parent = dirname(final);
  await withStagedFolder(parent, (staged) => {
    const installed = join(staged, 'installed');
    installInto(installed);
    const isSound = (folder) => findFlaw(folder) === undefined;
    moveFolder(installed, final, { isSound, asideFolder: staged });
  });
}

/**
 * Returns the folder whose `node_modules` holds the packages of the lock file in the working folder. Installs
 * them into `parent` if they are not there, and prints why. Returns undefined if they cannot be installed and
 * those of the checkout are complete.
 */
export async function installPackages(parent) {
  const machine = `${process.platform}-${process.arch}-node${process.versions.node.split('.')[0]}`;
  const name = `${machine}-${computeLockDigest()}`;
  const final = resolve(parent, name);
  const flaw = findFlaw(final);
  if (flaw === undefined) {
    markAsUsed(final);
    console.log(`packages ${name} are complete`);
  } else {
    console.log(`installing packages ${name}: ${flaw}`);
    try {
      await installAs(final);
    } catch (error) {
      const checkoutFlaw = findCheckoutFlaw();
      if (checkoutFlaw !== undefined) {
        throw new Error(`${error.message}\nThose of the checkout cannot be used: ${checkoutFlaw}`);
      }
      console.error(`${error.message}\nUsing the packages of the checkout, which are complete.`);
      return undefined;
    }
    console.log(`installed packages ${name}`);
  }
  removeUnusedFolders(parent, { used: new Set([name]), keptCount: KEPT_INSTALLATIONS });
  return realpathSync(final);
}
