// Bundles each command of src/cli into one JavaScript file, and into chunks what the command loads later.
// Bundles all commands unless some are named as arguments, and writes to dist/ unless `--out FOLDER` names
// another folder. Programs that run or start meanwhile are not disturbed.
// With `--deployment`, takes the packages from an installation in the output folder, which is made or repaired
// if needed, and checks that the commands start before it replaces them.
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { bundleCommands } from './build/bundle.mjs';
import { computeSourcesDigest } from './build/digests.mjs';
import { installPackages } from './build/packages.mjs';
import { openProgramStore } from './build/program-store.mjs';

const CLI_FOLDER = 'src/cli';
const DEFAULT_FOLDER = 'dist';
const PACKAGES_FOLDER = 'packages';
const OPERATOR_COMMAND = 'operator';
const OWN_BINARIES = new Set(['entry', 'controller', 'gateway', 'load']);

function formatBinaryName(command) {
  if (command === OPERATOR_COMMAND) return 'clementinefork';
  return OWN_BINARIES.has(command) ? `clementinefork-${command}` : command;
}

const { values, positionals } = parseArgs({
  options: { out: { type: 'string', default: DEFAULT_FOLDER }, deployment: { type: 'boolean' } },
  allowPositionals: true,
});
const outputFolder = values.out;
const commands = readdirSync(CLI_FOLDER)
  .filter((command) => positionals.length === 0 || positionals.includes(command))
  .map((command) => ({
    name: formatBinaryName(command),
    source: `${CLI_FOLDER}/${command}/index.ts`,
  }))
  .filter(({ source }) => existsSync(source));
if (commands.length < Math.max(positionals.length, 1)) {
  throw new Error(`${CLI_FOLDER} does not hold all commands of: ${positionals.join(', ')}`);
}
const programs = openProgramStore(outputFolder);

async function buildPrograms() {
  const packagesFolder = values.deployment
    ? await installPackages(join(outputFolder, PACKAGES_FOLDER))
    : undefined;
  const bundle = async (output) => {
    const sources = computeSourcesDigest();
    await bundleCommands(commands, { ...output, packagesFolder });
    return computeSourcesDigest() === sources ? sources : undefined;
  };
  const build = await programs.replace(commands, { bundle, needsCheck: values.deployment });
  console.log(`built ${commands.length} commands in ${outputFolder}/ as build ${build}`);
}

try {
  await buildPrograms();
} catch (error) {
  console.error(error);
  const builds = new Set(programs.findBuilds(commands));
  const kept = [...builds].map((build) => build ?? 'none').join(', ');
  // Without an installation of its own, a program depends on more than the sources.
  if (values.deployment && programs.isBuiltFrom(commands, computeSourcesDigest())) {
    console.error(`The build failed; kept the program of the same sources, build ${kept}.`);
  } else {
    console.error(`The build failed; the program stays as it was, build ${kept}.`);
    process.exitCode = 1;
  }
}
