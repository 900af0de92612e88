import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import type { Clock } from '../src/clock.ts'
import { startLatenessWatch } from '../src/process/lateness-watch.ts'
import { selectAddresses } from '../src/process/gateway/select-addresses.ts'
import type { MemberView } from '../src/process/gossip/gossip-membership.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, ZoneId } from '../src/types.ts'
import { createRandom } from '../replay/random.ts'

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

function createEntries (zones: readonly string[], busy: readonly number[] = []): MemberView[] {
  return zones.map((zone, index) => ({
    id: toBrand<EntryId>(`e${index}`),
    zone: toBrand<ZoneId>(zone),
    address: '10.0.0.1',
    port: index,
    state: 'live',
    isSelf: false,
    status: { isReady: true, isLeaving: false, isBusy: busy.includes(index), canReadStore: true, isCutOff: false, isPartlyCutOff: false }
  }))
}

function listSelected (entries: readonly MemberView[], callerZone?: string): string[] {
  return selectAddresses({ entries, callerZone: callerZone === undefined ? undefined : toBrand<ZoneId>(callerZone), random: createRandom(1) }).map(({ id }) => id)
}

test('busy entries are left out of address responses while most entries are not busy', () => {
  const zones = ['a', 'a', 'b', 'b']
  expect(listSelected(createEntries(zones, [1])).sort()).toEqual(['e0', 'e2', 'e3'])
  expect(listSelected(createEntries(zones, [0, 1]))).toHaveLength(4)
  expect(listSelected(createEntries(['a'], [0]))).toEqual(['e0'])
  expect(listSelected([])).toEqual([])
})

test('a fleet of up to 64 entries is named whole, so that callers of all zones spread over it evenly', () => {
  expect(listSelected(createEntries(new Array<string>(64).fill('a')), 'b')).toHaveLength(64)
})

test('of a larger fleet the entries of the caller\'s zone are named first, and 64 in all', () => {
  const zones = Array.from({ length: 123 }, (_, index) => `zone-${index % 6}`)
  const selected = listSelected(createEntries(zones), 'zone-2')
  expect(selected).toHaveLength(64)
  expect(new Set(selected).size).toBe(64)
  expect(selected.slice(0, 20).every((id) => Number(id.slice(1)) % 6 === 2)).toBe(true)
})
