import neostandard from 'neostandard'
import typescriptEslint from 'typescript-eslint'
import { noImportCircles } from './tools/no-import-circles.mjs'

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', 'node_modules/**', 'coverage/**'] },
  ...neostandard({ ts: true, noJsx: true }),
  ...typescriptEslint.configs.recommendedTypeChecked.map(config => ({ ...config, files: ['**/*.ts'] })),
  {
    files: ['**/*.ts'],
    languageOptions: {
      // One program over all sources: a program a package takes gigabytes and minutes.
      parserOptions: { project: './tsconfig.tests.json', tsconfigRootDir: import.meta.dirname }
    },
    plugins: { baobabpost: { rules: { 'no-import-circles': noImportCircles } } },
    rules: {
      'baobabpost/no-import-circles': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true, allowBoolean: true }],
      '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreTemplateLiterals: true, ignoreStrings: true, ignoreRegExpLiterals: true }],
      'max-depth': ['error', 4],
      // A schema and the type inferred from it share a name; the compiler finds true redeclarations.
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off'
    }
  },
  {
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 200, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 16]
    }
  }
]
