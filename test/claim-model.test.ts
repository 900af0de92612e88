import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createStoreStrategy, runHistory, stepArbitrary } from './support/claim-model.ts'

const HISTORIES = Number(process.env.CLAIM_HISTORIES ?? 300)
const SEED = Number(process.env.CLAIM_SEED ?? 20_261_204)
const LONG_RUN_TIMEOUT_MS = 1_800_000

test('in any generated history no key runs twice within its claim window and no request reported as not run has run', async () => {
  const total = { histories: 0, attempts: 0, admitted: 0, runs: 0, repeated: 0, notRun: 0 }
  const property = fc.asyncProperty(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), async (steps) => {
    const { violations, ...report } = await runHistory(createStoreStrategy, steps)
    expect(violations).toEqual([])
    total.histories += 1
    for (const [name, value] of Object.entries(report)) total[name as keyof typeof report] += value
  })
  await fc.assert(property, { numRuns: HISTORIES, seed: SEED })
  console.log(`claims: ${JSON.stringify({ seed: SEED, ...total })}`)
  expect(total.runs).toBeGreaterThan(HISTORIES)
}, LONG_RUN_TIMEOUT_MS)
