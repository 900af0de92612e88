import { afterEach, expect, test } from 'vitest'
import { createPlatformGroup } from '../stand-ins/platform-groups.ts'
import type { AssignedPartition } from '../stand-ins/platform-groups.ts'
import { startPlatformStore } from '../stand-ins/platform-store.ts'
import type { PlatformStore } from '../stand-ins/platform-store.ts'

const LIFETIME_MS = 1_000
const PART_COUNT = 12

const stores: PlatformStore[] = []

afterEach(() => { for (const store of stores.splice(0)) store.close() })

function setup () {
  const clock = { nowMs: 0 }
  const group = createPlatformGroup({ partCount: PART_COUNT, getNowMs: () => clock.nowMs })
  const join = (member: string) => group.join({ member, topics: ['work'], lifetimeMs: LIFETIME_MS })
  return { clock, group, join }
}

function countByMember (owners: readonly AssignedPartition[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { member } of owners) counts[member] = (counts[member] ?? 0) + 1
  return counts
}

test('assigns partitions evenly, and begins a new generation when a member joins', () => {
  const { group, join } = setup()
  const first = join('a')
  expect(first.parts).toHaveLength(PART_COUNT)
  const second = join('b')
  expect(second.generation).toBeGreaterThan(first.generation)
  expect(countByMember(group.listOwners())).toEqual({ a: 6, b: 6 })
  group.leave('a')
  expect(countByMember(group.listOwners())).toEqual({ b: PART_COUNT })
})

test('reassigns the partitions of a member that has not joined again within its lifetime', () => {
  const { clock, group, join } = setup()
  join('a')
  join('b')
  clock.nowMs = LIFETIME_MS
  join('b')
  clock.nowMs = LIFETIME_MS + 1
  expect(countByMember(group.listOwners())).toEqual({ b: PART_COUNT })
})

test('accepts a commit only from the member that holds the partition, and only for a generation in which it held it', () => {
  const { group, join } = setup()
  const first = join('a')
  join('b')
  const [reassigned] = group.listOwners().filter(({ member }) => member === 'b')
  expect(group.commit('b', first.generation, reassigned!, 5)).toBe(false)
  expect(group.commit('a', first.generation + 1, reassigned!, 5)).toBe(false)
  expect(group.commit('b', first.generation + 1, reassigned!, 5)).toBe(true)
  expect(group.listOwners().find(({ part }) => part === reassigned!.part)).toMatchObject({ member: 'b', offset: 5 })
})

test('moves every partition to another member with moveAllPartitions', () => {
  const { group, join } = setup()
  join('a')
  join('b')
  const previous = group.listOwners()
  group.moveAllPartitions()
  expect(group.listOwners().filter(({ member }, index) => member === previous[index]?.member)).toEqual([])
})

test('serves join, commit, owners and leave over HTTP', async () => {
  const store = await startPlatformStore()
  stores.push(store)
  const url = `http://127.0.0.1:${store.port}`
  const send = async (path: string, body: unknown) => {
    const response = await fetch(`${url}${path}`, { method: 'POST', body: JSON.stringify(body) })
    return { status: response.status, body: await response.json() as Record<string, unknown> }
  }
  const joined = await send('/log-join', { group: 'g', member: 'a', topics: ['work'], ttl_time: '1500ms', generation: 0 })
  expect(joined).toMatchObject({ status: 200, body: { generation: 1 } })
  expect(joined.body.parts).toHaveLength(PART_COUNT)
  const commit = { group: 'g', member: 'a', generation: 1, topic: 'work', part: 3, offset: 9 }
  expect((await send('/log-commit', commit)).status).toBe(200)
  expect((await send('/log-commit', { ...commit, member: 'b' })).status).toBe(409)
  expect((await send('/log-join', { group: 'g', member: 'a', topics: ['work'], ttl_time: '10ms', generation: 0 })).status).toBe(400)
  const owners = await (await fetch(`${url}/log-owners?group=g`)).json()
  expect(owners).toMatchObject({ owners: expect.arrayContaining([['work', 3, 'a', 9]]) })
  expect((await send('/log-leave', { group: 'g', member: 'a' })).status).toBe(200)
  expect(store.getGroup('g').listOwners()).toEqual([])
})
