import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';

export default [
  {
    ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'src/core/rpc/generated/**'],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // Settings and declarations are read before a process serves.
      'n/no-sync': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true },
    },
    rules: {
      // Node.js resolves ES modules by their full file name.
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      // Modules export factories and types by name, so that imports read the same everywhere.
      'import-x/prefer-default-export': 'off',
      // Loops with await send one message after the other on purpose.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      // Counters and sequence numbers read better with ++.
      'no-plusplus': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      // Records owned by a task are updated in place.
      'no-param-reassign': ['error', { props: false }],
      // Node.js needs the index file in the path.
      'import-x/no-useless-path-segments': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['describe', 'it', 'test'], package: 'node:test' },
          ],
        },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      // Time and randomness come from the timer service and from functions passed in.
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'performance',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Use the timer service.' },
        { object: 'Math', property: 'random', message: 'Use the random source passed in.' },
      ],
    },
  },
  {
    files: ['**/*.mjs'],
    ignores: ['review/**'],
    rules: {
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      'import-x/prefer-default-export': 'off',
    },
  },
  {
    files: ['**/*.test.ts', 'eslint.config.mjs', 'scripts/**'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      'no-restricted-syntax': 'off',
    },
  },
];
