import { defineConfig } from 'vitest/config'

const TEST_TIMEOUT_MS = 120_000

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    globalSetup: ['test/global-setup.ts'],
    testTimeout: TEST_TIMEOUT_MS,
    hookTimeout: TEST_TIMEOUT_MS,
    pool: 'forks',
    maxWorkers: 4
  }
})
