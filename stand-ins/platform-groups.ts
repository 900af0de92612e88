/**
 * Consumer groups of the platform's store, in memory: the partitions of the topics are assigned evenly to the members,
 * and each change of the members or their topics begins a new generation.
 */

/** One partition of a topic. */
export interface Partition { topic: string, part: number }

/** A partition that is assigned to a member, with the offset last committed to it (0 before the first commit). */
export interface AssignedPartition extends Partition { member: string, offset: number }

/** The response to a join: the generation, and the partitions assigned to the member. */
export interface Membership { generation: number, parts: AssignedPartition[] }

/** The options of a join; a member repeats the call to stay in the group. */
export interface JoinOptions {
  member: string
  topics: readonly string[]
  /** Time after the last join at which the member expires, in ms. */
  lifetimeMs: number
}

/** A consumer group. */
export interface PlatformGroup {
  join(options: JoinOptions): Membership
  leave(member: string): void
  /** Stores the offset of a partition; returns false if it is not assigned to the member, or was not yet in that generation. */
  commit(member: string, generation: number, partition: Partition, offset: number): boolean
  /** Lists every assigned partition with its member and committed offset. */
  listOwners(): AssignedPartition[]
  /** Assigns every partition to another member, as the store sometimes does without a join or a leave. */
  moveAllPartitions(): void
}

interface Member { topics: readonly string[], lifetimeMs: number, joinedAtMs: number }
interface Assignment extends AssignedPartition { sinceGeneration: number }

/** Creates a group whose topics have `partCount` partitions each. */
export function createPlatformGroup (options: { partCount: number, getNowMs: () => number }): PlatformGroup {
  const { partCount, getNowMs } = options
  const members = new Map<string, Member>()
  const offsets = new Map<string, number>()
  let assignments: Assignment[] = []
  let generation = 0
  /** Shifts which member each partition is assigned to, by this many members. */
  let rotation = 0

  const toKey = ({ topic, part }: Partition): string => `${topic}/${part}`
  const listPartitions = (): Partition[] => {
    const topics = [...new Set([...members.values()].flatMap((member) => member.topics))].sort()
    return topics.flatMap((topic) => Array.from({ length: partCount }, (_, part) => ({ topic, part })))
  }
  const updateAssignments = (): void => {
    generation += 1
    const previous = new Map(assignments.map((each) => [toKey(each), each]))
    const names = [...members.keys()].sort()
    assignments = listPartitions().flatMap((partition, index) => {
      const candidates = names.filter((name) => members.get(name)?.topics.includes(partition.topic))
      const member = candidates[(index + rotation) % candidates.length]
      if (member === undefined) return []
      const known = previous.get(toKey(partition))
      const sinceGeneration = known?.member === member ? known.sinceGeneration : generation
      return [{ ...partition, member, sinceGeneration, offset: 0 }]
    })
  }
  const toAssignedPartition = ({ topic, part, member }: Assignment): AssignedPartition => ({ topic, part, member, offset: offsets.get(toKey({ topic, part })) ?? 0 })
  const dropExpired = (): void => {
    const expired = [...members].filter(([, { joinedAtMs, lifetimeMs }]) => getNowMs() - joinedAtMs > lifetimeMs)
    for (const [name] of expired) members.delete(name)
    if (expired.length > 0) updateAssignments()
  }
  return {
    join ({ member, topics, lifetimeMs }) {
      dropExpired()
      const known = members.get(member)
      const isChanged = !known || known.topics.join() !== topics.join()
      members.set(member, { topics, lifetimeMs, joinedAtMs: getNowMs() })
      if (isChanged) updateAssignments()
      return { generation, parts: assignments.filter((each) => each.member === member).map(toAssignedPartition) }
    },
    leave (member) {
      if (members.delete(member)) updateAssignments()
    },
    commit (member, ofGeneration, partition, offset) {
      dropExpired()
      const own = assignments.find((each) => toKey(each) === toKey(partition) && each.member === member)
      if (!own || ofGeneration < own.sinceGeneration) return false
      offsets.set(toKey(partition), offset)
      return true
    },
    listOwners () {
      dropExpired()
      return assignments.map(toAssignedPartition)
    },
    moveAllPartitions () {
      rotation += 1
      updateAssignments()
    }
  }
}
