import { defineConfig } from 'vitest/config'
import base from './vitest.config.js'

/** Tests that measure the memory of processes: one at a time, without other tests beside them. */
export default defineConfig({
  ...base,
  test: {
    ...base.test,
    include: ['packages/*/tests/clients/*.test.ts', 'platform/tests/clients/*.test.ts'],
    exclude: ['**/node_modules/**'],
    maxWorkers: 1,
    fileParallelism: false
  }
})
