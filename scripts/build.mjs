// Bundles each command of src/cli into one JavaScript file, and into chunks what the command loads later.
// Bundles all commands unless some are named as arguments, and writes to dist/ unless `--out FOLDER` names
// another folder.
import { existsSync, readdirSync, rmSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { build } from 'esbuild';

const CLI_FOLDER = 'src/cli';
const DEFAULT_FOLDER = 'dist';
const OPERATOR_COMMAND = 'operator';
const OWN_BINARIES = new Set(['entry', 'controller', 'gateway', 'load']);

function formatBinaryName(command) {
  if (command === OPERATOR_COMMAND) return 'clementinefork';
  return OWN_BINARIES.has(command) ? `clementinefork-${command}` : command;
}

const { values, positionals } = parseArgs({
  options: { out: { type: 'string', default: DEFAULT_FOLDER } },
  allowPositionals: true,
});
const outputFolder = values.out;
const commands = readdirSync(CLI_FOLDER)
  .filter((name) => existsSync(`${CLI_FOLDER}/${name}/index.ts`))
  .filter((name) => positionals.length === 0 || positionals.includes(name));
rmSync(outputFolder, { recursive: true, force: true });
await build({
  entryPoints: commands.map((name) => ({
    in: `${CLI_FOLDER}/${name}/index.ts`,
    out: formatBinaryName(name),
  })),
  outdir: outputFolder,
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: false,
  legalComments: 'none',
  // Optional native addon of hot-shots for Unix sockets; not needed, because metrics are sent over UDP.
  external: ['unix-dgram'],
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
console.log(`built ${commands.length} commands in ${outputFolder}/`);
