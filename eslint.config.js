import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'
import { functionVerb } from './tools/eslint/functionVerb.js'
import { oneExport } from './tools/eslint/oneExport.js'

const DECISION_FILES = [
  'packages/almondrelay/src/request/**/*.ts',
  'packages/almondrelay/src/version/**/*.ts',
  'packages/almondrelay/src/process/limits/**/*.ts',
  'packages/almondrelay/src/process/membership/**/*.ts',
  'packages/almondrelay/src/process/journal/**/*.ts',
  'packages/almondrelay-gateway/src/request/**/*.ts',
  'packages/almondrelay-gateway/src/version/**/*.ts'
]

const AMBIENT_TIME_AND_CHANCE = [
  { object: 'Date', property: 'now', message: 'the present time is an argument of what decides' },
  { object: 'performance', property: 'now', message: 'the present time is an argument of what decides' },
  { object: 'Math', property: 'random', message: 'chance is an argument of what decides' }
]

const IO_MODULES = ['node:*', 'http-parser-js', 'prom-client', 'undici', 'hono', 'hono/*', '@hono/*', '@connectrpc/*', 'bunyan', 'hot-shots', '**/connection/**', '**/platform/**']

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/src/gen/**', 'node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    plugins: { almondrelay: { rules: { 'function-verb': functionVerb, 'one-export': oneExport } } }
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: { parser: tseslint.parser, parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      // The compiler checks redeclaration; a constant object and its type share a name on purpose.
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off',
      // A promise that is left alone on purpose says so.
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/consistent-type-imports': 'error',
      'almondrelay/function-verb': 'error',
      'almondrelay/one-export': 'error',
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['packages/*/src/**/*.ts'],
    rules: { 'no-restricted-imports': ['error', { patterns: [{ group: ['almondrelay-platform'], message: 'the product does not know the platform: the adapter is passed in' }] }] }
  },
  { files: ['packages/*/src/**/index.ts', 'packages/*/src/testing.ts', 'platform/src/index.ts'], rules: { 'almondrelay/one-export': 'off' } },
  {
    files: DECISION_FILES,
    ignores: ['**/__tests__/**', '**/__fixtures__/**'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: [...IO_MODULES, 'almondrelay-platform'], message: 'a decision module does no I/O' }] }],
      'no-restricted-properties': ['error', ...AMBIENT_TIME_AND_CHANCE],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch', 'process']
    }
  }
]
