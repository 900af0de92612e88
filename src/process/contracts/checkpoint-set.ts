/**
 * The checkpoints on the contract stream and the votes of readers that have folded the covered records.
 */
import type { Offset } from '../../types.ts'
import type { CarriedVersion, CheckpointRecord, VoteRecord } from '../../version/contract-record.ts'
import type { ContractRecord } from './contract-state.ts'

/** A complete checkpoint. */
export interface Checkpoint {
  id: string
  writer: string
  /** All records below this offset are folded into the checkpoint. */
  coversTo: Offset
  /** Hash of the state. */
  digest: string
  /** The accepted versions of each customer. */
  schedules: CarriedVersion[][]
  /** Its records, for peers that start without state. */
  records: ContractRecord[]
  /** When its first part was appended to the log, in ms since 1970; undefined when it came from a peer. */
  appendedAtMs: number | undefined
}

/** Checkpoints and votes read from the stream. */
export interface CheckpointSet {
  /** Adds a part; returns the checkpoint when the part completes it. */
  addPart(part: CheckpointRecord, source: ContractRecord & { appendedAtMs?: number }): Checkpoint | undefined
  addVote(vote: VoteRecord): void
  /** Counts the writers that approved a checkpoint, including its author. */
  countApprovals(id: string): number
  /** Counts the writers that rejected a checkpoint. */
  countRejections(id: string): number
  /** Lists the complete checkpoints that are still kept, newest first. */
  listComplete(): Checkpoint[]
  /** Drops a checkpoint that is no longer needed; its votes are kept. */
  dropContent(id: string): void
}

/** Maximum number of partial and of complete checkpoints; the oldest are dropped. */
const MAX_CHECKPOINTS = 8
/** Maximum number of checkpoints whose authors and votes are kept; the oldest are dropped. */
const MAX_VOTED_CHECKPOINTS = 64

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

function dropOldest<K, V> (map: Map<K, V>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return
    map.delete(key)
  }
}

/** Creates an empty set. */
export function createCheckpointSet (): CheckpointSet {
  const partial = new Map<string, PartialCheckpoint>()
  const complete = new Map<string, Checkpoint>()
  const authors = new Map<string, string>()
  const votes = new Map<string, Map<string, boolean>>()

  const countVotes = (id: string, isRight: boolean): number =>
    [...votes.get(id)?.values() ?? []].filter((vote) => vote === isRight).length

  return {
    addPart (part, source) {
      if (authors.has(part.id) || part.part >= part.parts) return undefined
      const collected = partial.get(part.id) ?? { id: part.id, parts: new Map() }
      const firstPart = [...collected.parts.values()][0]?.part
      // A part that does not match the others comes from another writer with the same id; the first parts are kept.
      if (firstPart && !isSameCheckpoint(firstPart, part)) return undefined
      collected.parts.set(part.part, { part, source })
      partial.set(part.id, collected)
      dropOldest(partial, MAX_CHECKPOINTS)
      const checkpoint = toCheckpoint(collected)
      if (!checkpoint) return undefined
      partial.delete(part.id)
      authors.set(part.id, checkpoint.writer)
      dropOldest(authors, MAX_VOTED_CHECKPOINTS)
      complete.set(part.id, checkpoint)
      dropOldest(complete, MAX_CHECKPOINTS)
      return checkpoint
    },
    addVote ({ id, writer, isRight }) {
      const idVotes = votes.get(id) ?? new Map<string, boolean>()
      idVotes.set(writer, isRight)
      votes.set(id, idVotes)
      dropOldest(votes, MAX_VOTED_CHECKPOINTS)
    },
    countApprovals: (id) => {
      const author = authors.get(id)
      const authorVote = author !== undefined && !votes.get(id)?.has(author) ? 1 : 0
      return countVotes(id, true) + authorVote
    },
    countRejections: (id) => countVotes(id, false),
    listComplete: () => [...complete.values()].reverse(),
    dropContent: (id) => { complete.delete(id) }
  }
}

/**
 * Lists the checkpoints that a reader may start from, best first. A usable checkpoint has more approvals than rejections.
 * Those approved by a reader besides the author come first, and then newer ones before older ones.
 */
export function listUsableCheckpoints (set: CheckpointSet): Checkpoint[] {
  const usable = set.listComplete().filter(({ id }) => set.countApprovals(id) > set.countRejections(id))
  const rankConfirmed = ({ id }: Checkpoint): number => set.countApprovals(id) > 1 ? 1 : 0
  return usable.sort((a, b) => rankConfirmed(b) - rankConfirmed(a) || b.coversTo - a.coversTo)
}
