import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import type { TestClock } from '../src/clock.ts'
import type { MemberFact, PeerIdentity } from '../src/connection/peer-frames.ts'
import { createMemberTable } from '../src/process/membership/member-table.ts'
import type { MemberTable } from '../src/process/membership/member-table.ts'
import { toBrand } from '../src/types.ts'
import type { EntryId, Incarnation, Offset } from '../src/types.ts'
import { createIdentity, toListed } from './support/mesh.ts'
import { createModelRuns } from './support/model-runs.ts'

const FORGET_AFTER_MS = 30_000
const HOLD_MS = 10_000
const ENTRIES = 4
const RUNS = 3

function createTable (): { table: MemberTable, clock: TestClock } {
  const clock = createTestClock()
  return { clock, table: createMemberTable({ self: createIdentity(0), clock, forgetAfterMs: FORGET_AFTER_MS, listLeavingHoldMs: HOLD_MS }) }
}

function getState (table: MemberTable, index: number): string | undefined {
  return table.listPeers().find((peer) => peer.id === `entry-${index}`)?.state
}

function toFact (peer: PeerIdentity, isHeard: boolean, isLeaving = false): MemberFact {
  return { ...peer, isHeard, isLeaving }
}

test('a listed entry is suspect until a first handshake, then live', () => {
  const { table } = createTable()
  table.applyList([toListed(createIdentity(1))])
  expect(getState(table, 1)).toBe('suspect')
  table.applyContact(createIdentity(1))
  expect(getState(table, 1)).toBe('live')
})

test('an entry without a direct link stays live while a peer reports contact with it', () => {
  const { table } = createTable()
  for (const index of [1, 2]) table.applyContact(createIdentity(index))
  table.applyPeerFacts(toBrand('entry-2'), [toFact(createIdentity(1), true)])
  table.markUnreachable(toBrand('entry-1'), createIdentity(1).incarnation)
  expect(getState(table, 1)).toBe('live')
  table.applyPeerFacts(toBrand('entry-2'), [toFact(createIdentity(1), false)])
  expect(getState(table, 1)).toBe('suspect')
})

test('reports of a peer that is itself out of contact are ignored', () => {
  const { table } = createTable()
  for (const index of [1, 2]) table.applyContact(createIdentity(index))
  table.applyPeerFacts(toBrand('entry-2'), [toFact(createIdentity(1), true)])
  table.markUnreachable(toBrand('entry-1'), createIdentity(1).incarnation)
  table.markUnreachable(toBrand('entry-2'), createIdentity(2).incarnation)
  expect(getState(table, 1)).toBe('suspect')
})

test('an entry that only every other list shows as leaving stays leaving, and is live again once the lists agree', async () => {
  const { table, clock } = createTable()
  for (const index of [1, 2]) table.applyContact(createIdentity(index))
  for (let read = 0; read < 20; read++) {
    table.applyList([toListed(createIdentity(1), read % 2 === 0 ? 'leaving' : 'live'), toListed(createIdentity(2))])
    expect(getState(table, 1)).toBe('leaving')
    await clock.advance(1_000)
  }
  table.applyList([toListed(createIdentity(1)), toListed(createIdentity(2))])
  await clock.advance(HOLD_MS)
  expect(getState(table, 1)).toBe('live')
})

test('a list that shows every entry as leaving does not leave callers without an address', () => {
  const { table } = createTable()
  table.applyContact(createIdentity(1))
  table.applyList([0, 1].map((index) => toListed(createIdentity(index), 'leaving')))
  expect(table.listLive()).toEqual(['entry-0', 'entry-1'])
})

test('a replaced host whose clock is behind is accepted only after its predecessor has been out of contact for the forgetting time', async () => {
  const { table, clock } = createTable()
  table.applyContact(createIdentity(1, 2))
  expect(table.applyContact(createIdentity(1, 1))).toBe('stale')
  table.markUnreachable(toBrand('entry-1'), createIdentity(1, 2).incarnation)
  await clock.advance(FORGET_AFTER_MS)
  expect(table.applyContact(createIdentity(1, 1))).toBe('stale')
  await clock.advance(1)
  expect(table.applyContact(createIdentity(1, 1))).toBe('later')
})

test('an entry leaves by a peer report only if a later incarnation has replaced it', () => {
  const { table } = createTable()
  table.applyContact(createIdentity(1))
  table.applyPeerFacts(toBrand('entry-1'), [toFact(createIdentity(0), true, true)])
  expect(getState(table, 0)).toBe('live')
  table.applyPeerFacts(toBrand('entry-1'), [toFact(createIdentity(0, 2), true)])
  expect(getState(table, 0)).toBe('leaving')
})

type Event =
  | { kind: 'contact' | 'unreachable' | 'leaving', entry: number, run: number }
  | { kind: 'report', entry: number, run: number, reporter: number, isHeard: boolean, isLeaving: boolean }
  | { kind: 'offset', entry: number, run: number, offset: number }
  | { kind: 'list', entry: number, state: 'live' | 'leaving' }
  | { kind: 'time', ms: number }

const entry = fc.integer({ min: 1, max: ENTRIES - 1 })
const run = fc.integer({ min: 1, max: RUNS })
const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ kind: fc.constantFrom('contact' as const, 'unreachable' as const, 'leaving' as const), entry, run }),
  fc.record({ kind: fc.constant('report' as const), entry, run, reporter: entry, isHeard: fc.boolean(), isLeaving: fc.boolean() }),
  fc.record({ kind: fc.constant('offset' as const), entry, run, offset: fc.nat({ max: 9 }) }),
  fc.record({ kind: fc.constant('list' as const), entry, state: fc.constantFrom('live' as const, 'leaving' as const) }),
  fc.record({ kind: fc.constant('time' as const), ms: fc.constantFrom(1, 1_000, 5_000) })
)

/** The part of a member table that handles the events. */
type Strategy = Pick<MemberTable, 'applyList' | 'applyContact' | 'markUnreachable' | 'applyLeaving' | 'applyPeerFacts' | 'applyOffset' | 'listPeers'>

function applyEvent (table: Strategy, modelEvent: Event): number {
  if (modelEvent.kind === 'time') return modelEvent.ms
  if (modelEvent.kind === 'list') {
    table.applyList([toListed(createIdentity(modelEvent.entry), modelEvent.state)])
    return 0
  }
  const peer = createIdentity(modelEvent.entry, modelEvent.run)
  switch (modelEvent.kind) {
    case 'contact':
      table.applyContact(peer)
      break
    case 'unreachable':
      table.markUnreachable(peer.id, peer.incarnation)
      break
    case 'leaving':
      table.applyLeaving(peer.id, peer.incarnation)
      break
    case 'report':
      table.applyPeerFacts(toBrand<EntryId>(`entry-${modelEvent.reporter}`), [toFact(peer, modelEvent.isHeard, modelEvent.isLeaving)])
      break
    case 'offset':
      table.applyOffset(peer.id, peer.incarnation, toBrand<Offset>(modelEvent.offset))
  }
  return 0
}

/** Describes the first regression of an entry's incarnation, leaving mark or offset; undefined if there is none. */
async function findRegression (table: Strategy, clock: TestClock, events: Event[]): Promise<string | undefined> {
  const left = new Set<string>()
  let before = table.listPeers()
  let ageMs = 0
  for (const modelEvent of events) {
    ageMs += applyEvent(table, modelEvent)
    // Earlier incarnations may return after the forgetting time; another test covers that.
    if (ageMs > FORGET_AFTER_MS) return undefined
    if (modelEvent.kind === 'time') await clock.advance(modelEvent.ms)
    if (modelEvent.kind === 'leaving') left.add(`entry-${modelEvent.entry} ${createIdentity(modelEvent.entry, modelEvent.run).incarnation}`)
    for (const peer of table.listPeers()) {
      const earlier = before.find((view) => view.id === peer.id)
      if (left.has(`${peer.id} ${peer.incarnation}`) && peer.state === 'live') return `${peer.id} is live after leaving`
      if (earlier?.incarnation === undefined) continue
      if ((peer.incarnation ?? '') < earlier.incarnation) return `${peer.id} fell back to run ${peer.incarnation}`
      if (peer.incarnation === earlier.incarnation && peer.contractOffset < earlier.contractOffset) return `${peer.id} fell back in offset`
    }
    before = table.listPeers()
  }
  return undefined
}

const events = fc.array(event, { minLength: 5, maxLength: 60 })

test('an incarnation, leaving mark or contract offset never goes back under random events', async () => {
  await fc.assert(fc.asyncProperty(events, async (events) => {
    const { table, clock } = createTable()
    expect(await findRegression(table, clock, events)).toBeUndefined()
  }), createModelRuns(300))
})

/** A table that always takes the last message as the state. */
function createLastWriteTable (): Strategy {
  const peers = new Map<EntryId, { incarnation: Incarnation, isLeaving: boolean, offset: Offset }>()
  const setPeer = (id: EntryId, incarnation: Incarnation, isLeaving: boolean) =>
    peers.set(id, { incarnation, isLeaving, offset: peers.get(id)?.offset ?? toBrand<Offset>(-1) })
  return {
    applyList (hosts) {
      for (const host of hosts) {
        const known = peers.get(toBrand<EntryId>(host.id))
        if (known) known.isLeaving = host.state === 'leaving'
      }
    },
    applyContact (peer) {
      setPeer(peer.id, peer.incarnation, false)
      return 'current'
    },
    markUnreachable: () => {},
    applyLeaving: (id, incarnation) => { setPeer(id, incarnation, true) },
    applyPeerFacts (_reporter, facts) {
      for (const fact of facts) setPeer(fact.id, fact.incarnation, fact.isLeaving)
    },
    applyOffset (id, _incarnation, offset) {
      const known = peers.get(id)
      if (known) known.offset = offset
    },
    listPeers: () => [...peers].map(([id, { incarnation, isLeaving, offset }]) => ({
      ...createIdentity(1), id, incarnation, contractOffset: offset, isSelf: false, state: isLeaving ? 'leaving' : 'live'
    }))
  }
}

test('the same events make a last-write-wins table go back, so the check detects regressions', async () => {
  const failures: string[] = []
  for (const sample of fc.sample(events, { ...createModelRuns(100), seed: 5 })) {
    const found = await findRegression(createLastWriteTable(), createTestClock(), sample)
    if (found) failures.push(found)
  }
  expect(failures.some((found) => found.includes('live after leaving'))).toBe(true)
  expect(failures.some((found) => found.includes('fell back to run'))).toBe(true)
  expect(failures.some((found) => found.includes('fell back in offset'))).toBe(true)
})
