// Bundles commands of src/cli into one JavaScript file each, and into chunks what they load later.
import { appendFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join, sep } from 'node:path';

const IS_RESOLVED = Symbol('resolved among the packages');

async function loadBundler(packagesFolder) {
  if (packagesFolder !== undefined) {
    return createRequire(join(packagesFolder, 'package.json'))('esbuild');
  }
  try {
    return await import('esbuild');
  } catch (error) {
    throw new Error('The bundler cannot be loaded. Run "npm ci", or build with --deployment.', {
      cause: error,
    });
  }
}

/** Resolves packages in one folder only, and not in node_modules of the checkout that it lies in. */
function createPackageResolver(packagesFolder) {
  const isInside = (path) => path.startsWith(packagesFolder + sep);
  return {
    name: 'packages',
    setup({ onResolve, resolve }) {
      onResolve({ filter: /^[^./]/ }, async ({ path, kind, importer, resolveDir, pluginData }) => {
        if (kind === 'entry-point' || pluginData === IS_RESOLVED) return undefined;
        const isOfPackage = isInside(resolveDir);
        const result = await resolve(path, {
          kind,
          importer,
          resolveDir: isOfPackage ? resolveDir : packagesFolder,
          pluginData: IS_RESOLVED,
        });
        // Packages may lack optional ones, which the bundler decides on.
        if (result.errors.length > 0) return isOfPackage ? undefined : result;
        if (result.external || isInside(result.path)) return result;
        if (isOfPackage && kind === 'require-call') return { path, external: true };
        return { errors: [{ text: `${path} is not among the installed packages.` }] };
      });
    },
  };
}

/**
 * Bundles the commands, a record of the name of the entry file and its source each, into a folder, and their
 * chunks into a subfolder. Each entry file ends with the footer. Packages are taken from `packagesFolder`, or
 * from those of the checkout.
 */
export async function bundleCommands(
  commands,
  { outputFolder, chunkFolder, entryFooter, packagesFolder },
) {
  const { build } = await loadBundler(packagesFolder);
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
    plugins: packagesFolder === undefined ? [] : [createPackageResolver(packagesFolder)],
    banner: {
      js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
    },
    logLevel: 'warning',
  });
  commands.forEach(({ name }) => appendFileSync(join(outputFolder, `${name}.js`), entryFooter));
}
