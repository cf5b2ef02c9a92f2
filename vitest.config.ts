import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const packages = fileURLToPath(new URL('./packages/', import.meta.url))

export default defineConfig({
  resolve: {
    // Tests read the sources, so that a failing line is a line of the repository.
    alias: [{ find: /^@baobabpost\/([a-z-]+)$/, replacement: `${packages}$1/src/index.ts` }]
  },
  test: {
    include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
    // They run apart from the others, by vitest.clients.config.ts.
    exclude: ['**/node_modules/**', '**/tests/clients/**'],
    reporters: ['default', './tools/verdict-reporter.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    maxWorkers: 4
  }
})
