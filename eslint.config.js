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

const CLOCK_AND_RANDOM_PROPERTIES = [
  { object: 'Date', property: 'now', message: 'a decision module must not read the clock: pass the current time as an argument' },
  { object: 'performance', property: 'now', message: 'a decision module must not read the clock: pass the current time as an argument' },
  { object: 'Math', property: 'random', message: 'a decision module must not draw random numbers itself: pass the random source as an argument' }
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
      // `void` marks a promise that is deliberately not awaited.
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
    rules: { 'no-restricted-imports': ['error', { patterns: [{ group: ['almondrelay-platform'], message: 'packages must not import the platform: its adapter is passed in' }] }] }
  },
  { files: ['packages/*/src/**/index.ts', 'packages/*/src/testing.ts', 'platform/src/index.ts'], rules: { 'almondrelay/one-export': 'off' } },
  {
    files: DECISION_FILES,
    ignores: ['**/__tests__/**', '**/__fixtures__/**'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: [...IO_MODULES, 'almondrelay-platform'], message: 'a decision module must not do I/O' }] }],
      'no-restricted-properties': ['error', ...CLOCK_AND_RANDOM_PROPERTIES],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch', 'process']
    }
  }
]
