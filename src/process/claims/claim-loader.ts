/**
 * Loads the state of a claim stream for a process that starts, or that found records missing because of retention.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { Offset, StreamName } from '../../types.ts'
import type { LogClient } from '../log-client.ts'
import { createClaimIndex } from './claim-index.ts'
import type { ClaimIndex } from './claim-index.ts'
import { decodeClaimRecord } from './claim-record.ts'
import type { CheckpointRecord } from './claim-record.ts'

/** Offset of the first record ever appended to a stream. */
const FIRST_OFFSET = toBrand<Offset>(0)
const PAGE_LIMIT = 200

/** A loaded state and the position after it. */
export interface LoadedState {
  index: ClaimIndex
  /** Offset of the next record to read. */
  position: Offset
}

/** Collects the parts of checkpoints and keeps the newest complete checkpoint. */
export interface CheckpointCollector {
  /** Adds a part; returns true when it completed a checkpoint. */
  addPart(part: CheckpointRecord): boolean
  /** Returns all parts of the newest complete checkpoint. */
  getNewest(): CheckpointRecord[] | undefined
}

/** Creates an empty collector. */
export function createCheckpointCollector (): CheckpointCollector {
  const partialCheckpoints = new Map<string, Map<number, CheckpointRecord>>()
  let newest: CheckpointRecord[] | undefined
  return {
    addPart (part) {
      const parts = partialCheckpoints.get(part.id) ?? new Map<number, CheckpointRecord>()
      const [first] = parts.values()
      const isConsistent = !first || (first.parts === part.parts && first.covers === part.covers && first.streamMs === part.streamMs)
      if (!isConsistent || part.part >= part.parts) return false
      parts.set(part.part, part)
      partialCheckpoints.set(part.id, parts)
      if (parts.size < part.parts) return false
      partialCheckpoints.delete(part.id)
      if (!newest || part.covers >= newest[0]!.covers) newest = [...parts.values()]
      return true
    },
    getNewest: () => newest
  }
}

function buildStateFrom (parts: CheckpointRecord[]): LoadedState {
  const covers = toBrand<Offset>(parts[0]!.covers)
  const claims = parts.flatMap((part) => part.claims)
  const voids = parts.flatMap((part) => part.voids)
  const snapshot = { covers, streamMs: parts[0]!.streamMs, claims, voids }
  return { index: createClaimIndex({ from: 'snapshot', snapshot }), position: covers }
}

/** Reads the stream to its end and returns the newest complete checkpoint in it. */
async function findCheckpoint (log: LogClient, stream: StreamName, from: Offset): Promise<Result<CheckpointRecord[] | undefined, AppError>> {
  const collector = createCheckpointCollector()
  let position = from
  for (;;) {
    const page = await log.read(stream, position, { limit: PAGE_LIMIT })
    if (page.isErr()) return err(page.error)
    for (const { data } of page.value.records) {
      const record = decodeClaimRecord(data)
      if (record?.type === 'checkpoint') collector.addPart(record)
    }
    position = page.value.nextOffset
    if (page.value.records.length === 0 || position >= page.value.bounds.next) return ok(collector.getNewest())
  }
}

/**
 * Loads the state of a stream: from its first record; or from a checkpoint that covers every record that retention has
 * removed; or else from the earliest record left, in which case few claims can be granted at first.
 * Errors: `log-unavailable`, `log-gap` (retry).
 */
export async function loadClaimState (log: LogClient, stream: StreamName, maxWindowMs: number): Promise<Result<LoadedState, AppError>> {
  const bounds = await log.readBounds(stream)
  if (bounds.isErr()) return err(bounds.error)
  const { earliest } = bounds.value
  if (earliest === FIRST_OFFSET) return ok({ index: createClaimIndex({ from: 'first-record' }), position: FIRST_OFFSET })
  const found = await findCheckpoint(log, stream, earliest)
  if (found.isErr()) return err(found.error)
  const parts = found.value
  const isCovering = parts && parts[0]!.covers >= earliest
  return ok(isCovering ? buildStateFrom(parts) : { index: createClaimIndex({ from: 'middle', maxWindowMs }), position: earliest })
}
