import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import type { Clock } from '../src/clock.ts'
import { startLatenessWatch } from '../src/process/lateness-watch.ts'
import { dropBusy } from '../src/process/membership/address-order.ts'
import type { PeerView } from '../src/process/membership/peer-mesh.ts'

/** Creates a clock whose timers run late by what `getLateMs` returns, in ms. */
function createLateClock (getLateMs: () => number) {
  const clock = createTestClock()
  const late: Clock = { ...clock, startTimer: (delayMs, action) => clock.startTimer(delayMs + getLateMs(), action) }
  return { clock, late }
}

function setup () {
  const state = { lateMs: 1 }
  const { clock, late } = createLateClock(() => state.lateMs)
  const changes: boolean[] = []
  startLatenessWatch({ clock: late, handleChange: (isBusy) => { changes.push(isBusy) } })
  return { clock, state, changes }
}

// Guards against an overload that goes unnoticed: a machine is five times slower for some seconds, so work piles up.
test('a process is reported busy within a second after its timers start to run late, and not busy within a second after they recover', async () => {
  const { clock, state, changes } = setup()
  await clock.advance(2_000)
  expect(changes).toEqual([])
  state.lateMs = 120
  await clock.advance(1_000)
  expect(changes).toEqual([true])
  state.lateMs = 1
  await clock.advance(1_000)
  expect(changes).toEqual([true, false])
})

test('a single pause of the process does not make it busy', async () => {
  const { clock, state, changes } = setup()
  state.lateMs = 3_000
  await clock.advance(50)
  state.lateMs = 1
  await clock.advance(6_000)
  expect(changes).toEqual([])
})

function createEntries (busy: readonly boolean[]): PeerView[] {
  return busy.map((isBusy, index) => ({ id: `e${index}`, isBusy }) as unknown as PeerView)
}

test('busy entries are left out of address responses while most entries are not busy', () => {
  expect(dropBusy(createEntries([false, true, false, false])).map(({ id }) => id)).toEqual(['e0', 'e2', 'e3'])
  expect(dropBusy(createEntries([true, true, false, false]))).toHaveLength(4)
  expect(dropBusy(createEntries([true]))).toHaveLength(1)
  expect(dropBusy([])).toEqual([])
})
