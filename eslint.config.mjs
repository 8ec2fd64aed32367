import {createRequire} from 'node:module';

const require = createRequire(import.meta.url);
const gts = require('gts');

const INNER_FOLDERS = [
  'routing',
  'membership',
  'configuration',
  'admission',
  'recovery',
  'catalog',
  'reachability',
  'feedback',
  'pressure',
];

/** The users' platform is known to its own folder; platform/main.ts composes. */
const PLATFORM_PATTERN = {
  group: ['**/platform/*', '**/platform/**'],
  message: 'Only platform/ knows the platform; use a port.',
};

export default [
  ...gts,
  {ignores: ['dist/**', 'target/**', 'src/generated/**', 'node_modules/**']},
  {
    files: ['**/*.ts'],
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', name: ['test'], package: 'node:test'},
          ],
        },
      ],
    },
  },
  {
    files: ['src/**/*.ts', 'standins/**/*.ts', 'bench/**/*.ts', 'examples/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {patterns: [PLATFORM_PATTERN]}],
    },
  },
  {
    // The coordination parts see the outside through ports alone.
    files: INNER_FOLDERS.map(folder => `src/${folder}/**/*.ts`),
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/adapters/**', '**/daemon/**', '**/cli/**'],
              message: 'Import a port instead.',
            },
            PLATFORM_PATTERN,
          ],
        },
      ],
    },
  },
  {
    files: ['src/ports/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {group: ['**/adapters/**', '**/daemon/**', '**/cli/**']},
            PLATFORM_PATTERN,
          ],
        },
      ],
    },
  },
];
