import { expect, test } from 'vitest'
import { checkRun } from '../soak/checkers.ts'
import type { RequestEnd, SentRequest, SoakEvent } from '../soak/events.ts'
import { createPlan, FAULT_KINDS } from '../soak/plan.ts'
import { formatBody } from '../soak/targets.ts'

const TARGET = 'i-0-0'

function createSent (changes: Partial<SentRequest>): SentRequest {
  return { id: 'a', atMs: 0, entry: 0, service: 0, isIdempotent: false, isDeadly: false, isFirst: true, isReused: true, timeoutMs: 1_200, ...changes }
}

/** The events of one request: sent, run by targets, and ended. */
function createRequest (changes: Partial<SentRequest>, end: RequestEnd, tookMs = 100, targets: readonly string[] = [TARGET]): SoakEvent[] {
  const request = createSent(changes)
  return [
    { type: 'sent', atMs: request.atMs, request },
    ...targets.map((target): SoakEvent => ({ type: 'run', atMs: request.atMs, id: request.id, target, service: request.service })),
    { type: 'ended', atMs: request.atMs + tookMs, id: request.id, end }
  ]
}

function answer (id: string, changes: Partial<RequestEnd & { kind: 'answered' }> = {}): RequestEnd {
  return { kind: 'answered', status: 200, body: formatBody(id, TARGET), signature: `${TARGET} ${id}`, isLeaving: false, target: TARGET, ...changes }
}

/** The events of an answered request, with what its target saw. */
function createSeen (changes: Partial<SentRequest>, seen: Partial<SoakEvent & { type: 'run' }>): SoakEvent[] {
  return createRequest(changes, answer(changes.id ?? 'a')).map((event) => event.type === 'run' ? { ...event, ...seen } : event)
}

function listBroken (events: readonly SoakEvent[]): string[] {
  return checkRun(events).filter(({ broken }) => broken.length > 0).map(({ name }) => name)
}

function createMany (count: number, create: (id: string, index: number) => SoakEvent[]): SoakEvent[] {
  return Array.from({ length: count }, (_, index) => create(`r${index}`, index)).flat()
}

test('the same seed gives the same plan, and 200 seeds draw every kind of fault', () => {
  expect(createPlan(7)).toEqual(createPlan(7))
  const drawn = new Set(Array.from({ length: 200 }, (_, seed) => createPlan(seed).faults.map(({ fault }) => fault.kind)).flat())
  expect([...drawn].toSorted()).toEqual([...FAULT_KINDS].toSorted())
})

test('a sound run breaks no rule', () => {
  expect(listBroken(createMany(50, (id, index) => createRequest({ id, atMs: index * 100 }, answer(id))))).toEqual([])
})

test.each<{ rule: string, events: SoakEvent[] }>([
  { rule: 'once', events: createRequest({}, { kind: 'closed' }, 100, [TARGET, 'i-1-0']) },
  { rule: 'refused', events: createRequest({}, answer('a', { status: 503 })) },
  { rule: 'whole', events: createRequest({}, answer('a', { body: 'half' })) },
  { rule: 'whole', events: createRequest({ isIdempotent: true }, answer('a', { signature: `${TARGET} other` })) },
  { rule: 'route', events: [...createRequest({ isIdempotent: true }, answer('a')), { type: 'run', atMs: 0, id: 'a', target: TARGET, service: 1 }] },
  { rule: 'final', events: createMany(8, (id) => createRequest({ id }, { kind: 'given-up' }, 2_000)) },
  { rule: 'drain', events: [...createRequest({}, answer('a', { isLeaving: true })), ...createRequest({ id: 'b', atMs: 2_200 }, answer('b'))] },
  {
    rule: 'deadly',
    events: [
      ...[100, 200, 300].map((atMs): SoakEvent => ({ type: 'crashed', atMs, target: TARGET, isByRequest: true })),
      ...createMany(4, (id) => createRequest({ id, atMs: 4_000, isDeadly: true, isIdempotent: true }, { kind: 'left' }))
    ]
  },
  {
    rule: 'retry-after',
    events: createMany(4, (id, index) => [
      ...createRequest({ id, atMs: index * 600 }, answer(id, { status: 503 }), 10, []),
      { type: 'paused', atMs: index * 600, id, target: TARGET, untilMs: 3_000 }
    ])
  },
  { rule: 'lost', events: createMany(4, (id) => createRequest({ id }, { kind: 'closed' })) },
  { rule: 'customer', events: createSeen({ customer: 'mill' }, { customer: 'shop' }) },
  { rule: 'customer', events: createSeen({ customer: 'mill' }, { customer: 'mill', hasKey: true }) },
  { rule: 'customer', events: createSeen({ hasUnknownKey: true }, {}) },
  { rule: 'customer', events: [{ type: 'key-shown', atMs: 0, entry: 0 }] },
  { rule: 'revoked', events: [{ type: 'revoked', atMs: 0, customer: 'mill' }, ...createSeen({ customer: 'mill', atMs: 2_100 }, { customer: 'mill' })] },
  {
    rule: 'quota',
    // Allowed in 5 s: (2 x 5 + 1) x 1.1 + 20.
    events: [{ type: 'quota', atMs: 0, customer: 'mill', ratePerSecond: 2, burst: 1 }, ...createMany(33, (id) => createSeen({ id, customer: 'mill' }, { customer: 'mill' }))]
  },
  {
    rule: 'cold',
    // Allowed in a second: 4 x 1.5 + 8.
    events: [{ type: 'cold', atMs: 0, target: TARGET, untilMs: 3_000, perSecond: 4 }, ...createMany(15, (id) => createSeen({ id, atMs: 100 }, {}))]
  },
  { rule: 'evacuated', events: [{ type: 'evacuated', atMs: 0, zone: 'zone-a', untilMs: 5_000 }, ...createSeen({ atMs: 2_100 }, { zone: 'zone-a' })] },
  { rule: 'processes', events: [{ type: 'entry-ended', atMs: 10, entry: 0, detail: 'exit code 134' }] },
  {
    rule: 'recover',
    events: [
      { type: 'disturbed', atMs: 0, untilMs: 13_000, entry: 0, what: 'entry-partition' },
      ...createMany(40, (id, index) => createRequest({ id, atMs: 3_100 + index * 100, entry: index % 2, isReused: false }, index % 2 === 0 ? { kind: 'closed' } : answer(id)))
    ]
  }
])('the soak finds a broken rule: $rule', ({ rule, events }) => {
  expect(listBroken(events)).toEqual([rule])
})

// Guards against a finding that blames the entries for what a restored store has lost and the operator has not written again yet.
test('what a restored store has lost counts from its second writing, but only if it was not in effect before', () => {
  const evacuated: SoakEvent = { type: 'evacuated', atMs: 3_000, zone: 'zone-a', untilMs: 12_000 }
  const createRestoreAt = (awayAtMs: number): SoakEvent => ({ type: 'written-again', atMs: 7_500, copiedAtMs: 1_000, awayAtMs })
  const createRunAt = (atMs: number): SoakEvent[] => createSeen({ atMs }, { zone: 'zone-a' })
  expect(listBroken([evacuated, createRestoreAt(4_900), ...createRunAt(9_400)])).toEqual([])
  expect(listBroken([evacuated, createRestoreAt(4_900), ...createRunAt(9_600)])).toEqual(['evacuated'])
  expect(listBroken([evacuated, createRestoreAt(5_100), ...createRunAt(5_200)])).toEqual(['evacuated'])
  expect(listBroken([{ ...evacuated, atMs: 900 }, createRestoreAt(1_500), ...createRunAt(3_000)])).toEqual(['evacuated'])
})

test('what was done to an entry or a target excuses what follows from it', () => {
  const disturbed: SoakEvent = { type: 'disturbed', atMs: 0, untilMs: 5_000, entry: 0, what: 'entry-pause' }
  expect(listBroken([disturbed, ...createMany(8, (id) => createRequest({ id }, { kind: 'given-up' }, 2_000))])).toEqual([])
  expect(listBroken([{ ...disturbed, entry: undefined, target: TARGET } as SoakEvent, ...createMany(4, (id) => createRequest({ id }, { kind: 'closed' }))])).toEqual([])
})
