import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createRatioBudget } from '../src/request/balancing/ratio-budget.ts'
import type { ExchangeOutcome, TargetSlot } from '../src/process/targets/target-set.ts'
import type { ServiceContract } from '../src/version/contract.ts'
import { buildService, setupTargetSet, toEntryIds, toTargetId } from './support/target-service.ts'

const GOOD = { kind: 'answered', status: 200, firstByteMs: 20 } as const
const MAX_ATTEMPTS = 3
const DEPTH = 12
const CALLS = 2_000

/** Sends one call through layers that each retry while `canRetry` allows; `isGood` decides whether the last layer succeeds. */
function sendCall (layer: number, canRetry: (layer: number) => boolean, onGood: (layer: number) => void, isGood: () => boolean): boolean {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    if (attempt > 1 && !canRetry(layer)) return false
    const isAnswered = layer === DEPTH ? isGood() : sendCall(layer + 1, canRetry, onGood, isGood)
    if (isAnswered) {
      onGood(layer)
      return true
    }
  }
  return false
}

/** Counts the calls that reach the last layer. */
function countLastLayer (canRetry: (layer: number) => boolean, onGood: (layer: number) => void): number {
  let reached = 0
  // The last layer fails permanently for a tenth of the calls.
  for (let call = 0; call < CALLS; call++) {
    const isFailing = call % 10 === 0
    sendCall(1, canRetry, onGood, () => {
      reached += 1
      return !isFailing || reached > 500_000
    })
  }
  return reached
}

test('retries of 12 nested layers do not multiply under retry budgets, as they would under a maximum of attempts alone', () => {
  const budgets = Array.from({ length: DEPTH + 1 }, () => createRatioBudget({ share: 0.01, initialTokens: 1 }))
  const reachedUnderBudgets = countLastLayer((layer) => budgets[layer]!.tryAcquire(), (layer) => budgets[layer]!.addShare())
  expect(reachedUnderBudgets).toBeLessThanOrEqual(CALLS * 1.01 ** DEPTH + DEPTH)
  expect(countLastLayer(() => true, () => {})).toBeGreaterThan(CALLS * 10)
})

test('hedged requests stay within their share of requests, from the first request on', async () => {
  const { set, take } = setupTargetSet(buildService(3))
  let hedges = 0
  for (let request = 1; request <= 1_000; request++) {
    const slot = await take()
    slot.release(GOOD)
    while (set.tryAcquireHedge()) hedges += 1
    expect(hedges).toBeLessThanOrEqual(request * 0.02 + 1e-6)
  }
  expect(hedges).toBe(20)
})

test('only successes refill the retry budget', async () => {
  const { set, take } = setupTargetSet(buildService(3))
  expect([set.tryAcquireRetry(), set.tryAcquireRetry()]).toEqual([true, false])
  for (let request = 0; request < 100; request++) (await take()).release({ kind: 'broken' })
  expect(set.tryAcquireRetry()).toBe(false)
  for (let request = 0; request < 100; request++) (await take()).release(GOOD)
  expect([set.tryAcquireRetry(), set.tryAcquireRetry()]).toEqual([true, false])
})

test('a request gets no retry beyond its maximum of attempts', () => {
  const { set } = setupTargetSet(buildService(3))
  expect([set.tryAcquireRetry(3), set.tryAcquireRetry(2)]).toEqual([false, true])
})

const outcome: fc.Arbitrary<ExchangeOutcome> = fc.constantFrom<ExchangeOutcome>(
  GOOD, { kind: 'answered', status: 500, firstByteMs: 1 }, { kind: 'shed' }, { kind: 'unreachable' }, { kind: 'broken' }, { kind: 'timed-out' }, { kind: 'cancelled' }
)
const step = fc.oneof(
  fc.record({ type: fc.constant('take' as const), waitMs: fc.integer({ min: 1, max: 900 }), canWait: fc.boolean(), isRepeatable: fc.boolean(), exclude: fc.subarray(['t0', 't1', 't2', 't3']) }),
  fc.record({ type: fc.constant('release' as const), index: fc.nat(20), outcome, twice: fc.boolean() }),
  fc.record({ type: fc.constant('transfer' as const), index: fc.nat(20) }),
  fc.record({ type: fc.constant('leave' as const), index: fc.nat(20) }),
  fc.record({ type: fc.constant('pass' as const), ms: fc.integer({ min: 0, max: 3_000 }) }),
  fc.record({ type: fc.constant('entries' as const), count: fc.integer({ min: 1, max: 9 }) }),
  fc.record({ type: fc.constant('drain' as const), target: fc.constantFrom('t0', 't1') }),
  fc.record({ type: fc.constant('contract' as const), targets: fc.integer({ min: 2, max: 5 }) })
)

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

interface Play { setup: ReturnType<typeof setupTargetSet>, service: ServiceContract, held: TargetSlot[], callers: AbortController[], open: number }

async function runRequest (play: Play, taking: Extract<Step, { type: 'take' }>): Promise<void> {
  const { set, clock, buildSlotRequest } = play.setup
  const caller = new AbortController()
  play.callers.push(caller)
  play.open += 1
  const exclude = new Set(taking.exclude.map(toTargetId))
  const { canWait, isRepeatable, waitMs } = taking
  const result = await set.acquireSlot(buildSlotRequest({ canWait, isIdempotent: isRepeatable, exclude, deadlineMs: clock.monotonicMs() + waitMs, signal: caller.signal }))
  play.open -= 1
  if (result.isOk()) play.held.push(result.value)
}

function releaseOne (play: Play, releasing: Extract<Step, { type: 'release' }>): void {
  const slot = play.held.splice(releasing.index % Math.max(1, play.held.length), 1)[0]
  slot?.release(releasing.outcome)
  if (releasing.twice) slot?.release(releasing.outcome)
}

async function runStep (play: Play, taken: Step): Promise<void> {
  const { set, clock } = play.setup
  switch (taken.type) {
    case 'take':
      runRequest(play, taken).catch(() => {})
      return
    case 'release': return releaseOne(play, taken)
    case 'transfer': return play.held[taken.index % Math.max(1, play.held.length)]?.startTransfer()
    case 'leave': return play.callers[taken.index % Math.max(1, play.callers.length)]?.abort()
    case 'pass': return clock.advance(taken.ms)
    case 'entries': return set.updateEntries(toEntryIds(...Array.from({ length: taken.count }, (_, index) => `e${index}`)))
    case 'drain': return set.markLeaving(toTargetId(taken.target), 'answer')
    case 'contract': return set.updateContract({ ...play.service, targets: buildService(taken.targets).targets })
  }
}

test('no order of events leaks a slot, leaves a request waiting or exceeds a limit', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 80 }), async (steps) => {
    const service = buildService(4, { slotsPerTarget: 2, queue: { longest: 5, longestWaitMs: 400 } })
    const setup = setupTargetSet(service, { sendProbe: async () => ({ kind: 'ready' }) })
    const play: Play = { setup, service, held: [], callers: [], open: 0 }
    for (const taken of steps) {
      await runStep(play, taken)
      for (const target of setup.set.listTargets()) expect(target.inFlight).toBeLessThanOrEqual(2)
      expect(setup.set.report().waiting).toBeLessThanOrEqual(5)
    }
    await setup.clock.advance(1_000)
    expect([play.open, setup.set.report().waiting]).toEqual([0, 0])
    for (const slot of play.held) slot.release(GOOD)
    expect(setup.set.listTargets().filter((target) => target.inFlight !== 0)).toEqual([])
    setup.set.close()
  }), { seed: 77, numRuns: 150 })
}, 40_000)

test('lowering the maximum of a ratio budget drops the tokens beyond it', () => {
  const budget = createRatioBudget({ share: 1, maxTokens: 5 })
  for (let turn = 0; turn < 9; turn++) budget.addShare()
  budget.updateMaxTokens(2)
  expect([budget.tryAcquire(), budget.tryAcquire(), budget.tryAcquire()]).toEqual([true, true, false])
})
