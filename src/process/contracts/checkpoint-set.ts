/**
 * The checkpoints that stand on the contract stream, with the votes of readers that hold the prefix.
 */
import type { Offset } from '../../types.ts'
import type { CarriedVersion, CheckpointRecord, VoteRecord } from '../../version/contract-record.ts'
import type { ContractRecord } from './contract-state.ts'

/** A checkpoint all of whose parts are there. */
export interface Checkpoint {
  id: string
  writer: string
  coversTo: Offset
  digest: string
  schedules: CarriedVersion[][]
  /** Its records, for peers that start from nothing. */
  records: ContractRecord[]
  /** When the log took its first part, in ms since 1970; undefined when a peer passed it on. */
  appendedAtMs: number | undefined
}

/** Checkpoints and votes as they are met on the stream. */
export interface CheckpointSet {
  /** Takes a part; returns the checkpoint when it is now whole. */
  addPart(part: CheckpointRecord, source: ContractRecord & { appendedAtMs?: number }): Checkpoint | undefined
  addVote(vote: VoteRecord): void
  /** Writers that found a checkpoint right, its author included. */
  countRight(id: string): number
  countWrong(id: string): number
  /** Lists the whole checkpoints that are still held, newest first. */
  listWhole(): Checkpoint[]
  /** Drops the content of a checkpoint that is no longer needed; its votes stay. */
  dropContent(id: string): void
}

/** Checkpoints, whole or not, that are held at once; more push the oldest out. */
const MOST_HELD = 8
const MOST_VOTED = 64

interface PartialCheckpoint { id: string, parts: Map<number, { part: CheckpointRecord, source: ContractRecord & { appendedAtMs?: number } }> }

function isSameCheckpoint (a: CheckpointRecord, b: CheckpointRecord): boolean {
  return a.writer === b.writer && a.digest === b.digest && a.coversTo === b.coversTo && a.parts === b.parts
}

function toCheckpoint ({ parts }: PartialCheckpoint): Checkpoint | undefined {
  const ordered = [...parts.values()].sort((a, b) => a.part.part - b.part.part)
  const first = ordered[0]
  if (!first || ordered.length < first.part.parts) return undefined
  const { id, writer, coversTo, digest } = first.part
  return {
    id,
    writer,
    coversTo,
    digest,
    schedules: ordered.flatMap(({ part }) => part.schedules),
    records: ordered.map(({ source: { offset, data } }) => ({ offset, data })),
    appendedAtMs: first.source.appendedAtMs
  }
}

function dropOldest<K, V> (map: Map<K, V>, most: number): void {
  for (const key of map.keys()) {
    if (map.size <= most) return
    map.delete(key)
  }
}

/** Creates an empty set. */
export function createCheckpointSet (): CheckpointSet {
  const partial = new Map<string, PartialCheckpoint>()
  const whole = new Map<string, Checkpoint>()
  const authors = new Map<string, string>()
  const votes = new Map<string, Map<string, boolean>>()

  const countVotes = (id: string, isRight: boolean): number =>
    [...votes.get(id)?.values() ?? []].filter((vote) => vote === isRight).length

  return {
    addPart (part, source) {
      if (authors.has(part.id) || part.part >= part.parts) return undefined
      const held = partial.get(part.id) ?? { id: part.id, parts: new Map() }
      const other = [...held.parts.values()][0]?.part
      // A part that does not belong to the others is another writer's; the first ones stay.
      if (other && !isSameCheckpoint(other, part)) return undefined
      held.parts.set(part.part, { part, source })
      partial.set(part.id, held)
      dropOldest(partial, MOST_HELD)
      const checkpoint = toCheckpoint(held)
      if (!checkpoint) return undefined
      partial.delete(part.id)
      authors.set(part.id, checkpoint.writer)
      dropOldest(authors, MOST_VOTED)
      whole.set(part.id, checkpoint)
      dropOldest(whole, MOST_HELD)
      return checkpoint
    },
    addVote ({ id, writer, isRight }) {
      const cast = votes.get(id) ?? new Map<string, boolean>()
      cast.set(writer, isRight)
      votes.set(id, cast)
      dropOldest(votes, MOST_VOTED)
    },
    countRight: (id) => {
      const author = authors.get(id)
      const authorVote = author !== undefined && !votes.get(id)?.has(author) ? 1 : 0
      return countVotes(id, true) + authorVote
    },
    countWrong: (id) => countVotes(id, false),
    listWhole: () => [...whole.values()].reverse(),
    dropContent: (id) => { whole.delete(id) }
  }
}

/**
 * Lists the checkpoints that a reader may start from, best first: more readers must have found one right than wrong, and
 * one that somebody besides its author has found right goes before others, then a newer one before an older one.
 */
export function listUsableCheckpoints (set: CheckpointSet): Checkpoint[] {
  const usable = set.listWhole().filter(({ id }) => set.countRight(id) > set.countWrong(id))
  const isConfirmed = ({ id }: Checkpoint): number => set.countRight(id) > 1 ? 1 : 0
  return usable.sort((a, b) => isConfirmed(b) - isConfirmed(a) || b.coversTo - a.coversTo)
}
