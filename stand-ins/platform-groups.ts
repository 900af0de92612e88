/**
 * Consumer groups of the platform's store, in memory: members share the partitions of topics evenly, and each change of
 * who is in a group begins a new generation.
 */

/** One partition of a topic. */
export interface Partition { topic: string, part: number }

/** A partition that a member holds, with the offset up to which its work is done. */
export interface HeldPartition extends Partition { member: string, offset: number }

/** What a member is told. */
export interface Membership { generation: number, parts: HeldPartition[] }

/** How a member joins, or stays. */
export interface JoinOptions {
  member: string
  topics: readonly string[]
  /** Without a call for this long the member is out, in ms. */
  lifetimeMs: number
}

/** One group. */
export interface PlatformGroup {
  join(options: JoinOptions): Membership
  leave(member: string): void
  /** Notes how far a member has come; false when it does not hold the partition in that generation. */
  commit(member: string, generation: number, partition: Partition, offset: number): boolean
  listOwners(): HeldPartition[]
  /** Gives every partition to another member, as the store does at times without being asked. */
  moveAll(): void
}

interface Member { topics: readonly string[], lifetimeMs: number, heardAtMs: number }
interface Held extends HeldPartition { sinceGeneration: number }

/** Creates a group whose topics have `partCount` partitions each. */
export function createPlatformGroup (options: { partCount: number, getNowMs: () => number }): PlatformGroup {
  const { partCount, getNowMs } = options
  const members = new Map<string, Member>()
  const offsets = new Map<string, number>()
  let held: Held[] = []
  let generation = 0
  /** By how many places the members are turned when partitions are dealt out. */
  let turn = 0

  const toKey = ({ topic, part }: Partition): string => `${topic}/${part}`
  const listPartitions = (): Partition[] => {
    const topics = [...new Set([...members.values()].flatMap((member) => member.topics))].sort()
    return topics.flatMap((topic) => Array.from({ length: partCount }, (_, part) => ({ topic, part })))
  }
  const dispatchParts = (): void => {
    generation += 1
    const before = new Map(held.map((each) => [toKey(each), each]))
    const names = [...members.keys()].sort()
    held = listPartitions().flatMap((partition, index) => {
      const takers = names.filter((name) => members.get(name)?.topics.includes(partition.topic))
      const member = takers[(index + turn) % takers.length]
      if (member === undefined) return []
      const known = before.get(toKey(partition))
      const sinceGeneration = known?.member === member ? known.sinceGeneration : generation
      return [{ ...partition, member, sinceGeneration, offset: 0 }]
    })
  }
  const toHeld = ({ topic, part, member }: Held): HeldPartition => ({ topic, part, member, offset: offsets.get(toKey({ topic, part })) ?? 0 })
  const dropSilent = (): void => {
    const silent = [...members].filter(([, { heardAtMs, lifetimeMs }]) => getNowMs() - heardAtMs > lifetimeMs)
    for (const [name] of silent) members.delete(name)
    if (silent.length > 0) dispatchParts()
  }
  return {
    join ({ member, topics, lifetimeMs }) {
      dropSilent()
      const known = members.get(member)
      const isChanged = !known || known.topics.join() !== topics.join()
      members.set(member, { topics, lifetimeMs, heardAtMs: getNowMs() })
      if (isChanged) dispatchParts()
      return { generation, parts: held.filter((each) => each.member === member).map(toHeld) }
    },
    leave (member) {
      if (members.delete(member)) dispatchParts()
    },
    commit (member, ofGeneration, partition, offset) {
      dropSilent()
      const own = held.find((each) => toKey(each) === toKey(partition) && each.member === member)
      if (!own || ofGeneration < own.sinceGeneration) return false
      offsets.set(toKey(partition), offset)
      return true
    },
    listOwners () {
      dropSilent()
      return held.map(toHeld)
    },
    moveAll () {
      turn += 1
      dispatchParts()
    }
  }
}
