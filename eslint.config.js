import js from '@eslint/js';
import tsdoc from 'eslint-plugin-tsdoc';
import tseslint from 'typescript-eslint';

/** Lint rules that match the Google TypeScript Style Guide. */
export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      '**/*.cjs',
      '**/*.mjs',
      'eslint.config.js',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: {tsdoc},
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'prefer-const': 'error',
      'no-console': 'error',
      'no-restricted-syntax': [
        'error',
        {selector: 'TSEnumDeclaration', message: 'Use a constant object.'},
        {
          selector:
            "MemberExpression[object.name='AbortSignal'][property.name='timeout']",
          message: 'Use withTimeout: such a signal can be collected unseen.',
        },
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {
          selector: 'PrivateIdentifier',
          message: 'Use the private keyword, as the Google guide asks.',
        },
      ],
      'tsdoc/syntax': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'default',
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
        },
        {selector: 'import', format: null},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {
          selector: 'classProperty',
          modifiers: ['static'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: ['objectLiteralProperty', 'typeProperty'], format: null},
        {selector: 'objectLiteralMethod', format: null},
      ],
    },
  },
  {
    files: ['packages/*/src/test/**/*.ts', 'platform/src/test/**/*.ts'],
    rules: {'@typescript-eslint/no-unused-expressions': 'off'},
  },
);
