// Bundles commands of src/cli into one JavaScript file each, and into chunks what they load later.
import { appendFileSync } from 'node:fs';
import { join } from 'node:path';

async function loadBundler() {
  try {
    return await import('esbuild');
  } catch (error) {
    throw new Error('The bundler cannot be loaded. Run "npm ci".', { cause: error });
  }
}

/**
 * Bundles the commands, a record of the name of the entry file and its source each, into a folder, and their
 * chunks into a subfolder. Each entry file ends with the footer.
 */
export async function bundleCommands(commands, { outputFolder, chunkFolder, entryFooter }) {
  const { build } = await loadBundler();
  await build({
    entryPoints: commands.map(({ name, source }) => ({ in: source, out: name })),
    outdir: outputFolder,
    chunkNames: `${chunkFolder}/[name]-[hash]`,
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
  commands.forEach(({ name }) => appendFileSync(join(outputFolder, `${name}.js`), entryFooter));
}
