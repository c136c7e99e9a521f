// Bundles each command of src/cli into one file in dist/.
import { existsSync, readdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

const CLI_FOLDER = 'src/cli';
const OUTPUT_FOLDER = 'dist';
const OPERATOR_COMMAND = 'operator';
const OWN_BINARIES = new Set(['entry', 'controller', 'load']);

function formatBinaryName(command) {
  if (command === OPERATOR_COMMAND) return 'clementinefork';
  return OWN_BINARIES.has(command) ? `clementinefork-${command}` : command;
}

const commands = readdirSync(CLI_FOLDER).filter((name) =>
  existsSync(`${CLI_FOLDER}/${name}/index.ts`),
);
rmSync(OUTPUT_FOLDER, { recursive: true, force: true });
await build({
  entryPoints: commands.map((name) => ({
    in: `${CLI_FOLDER}/${name}/index.ts`,
    out: formatBinaryName(name),
  })),
  outdir: OUTPUT_FOLDER,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: false,
  legalComments: 'none',
  // Optional native addon of hot-shots; metrics go over UDP.
  external: ['unix-dgram'],
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
console.log(`built ${commands.length} commands in ${OUTPUT_FOLDER}/`);
