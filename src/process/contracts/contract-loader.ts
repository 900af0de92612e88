/**
 * Finds where a reader of the contract stream starts: at its first record or at a checkpoint.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import { buildState } from '../../version/contract-fold.ts'
import type { FoldState } from '../../version/contract-fold.ts'
import { decodeStreamRecord } from '../../version/contract-record.ts'
import type { LogBounds, LogClient } from '../log-client.ts'
import { createCheckpointSet, listUsableCheckpoints } from './checkpoint-set.ts'
import type { Checkpoint, CheckpointSet } from './checkpoint-set.ts'
import { CONTRACT_STREAM } from './contract-store.ts'

/** The state from which a reader starts. */
export interface LoadedContracts {
  state: FoldState
  /** Every record below this offset is folded into the state. */
  nextOffset: Offset
  /** The checkpoint that holds the state; absent when the reader starts at the first record. */
  checkpoint?: Checkpoint
}

/** Options for loading. */
export interface LoadOptions {
  /** Returns false for a checkpoint that must not be used. */
  canUse?: (checkpoint: Checkpoint, state: FoldState) => boolean
  /** Number of offsets before the end that are searched first for a checkpoint. Default 2,000. */
  scanLength?: number
  /** Starts as early as the log allows, instead of at the newest checkpoint. */
  isFromEarliest?: boolean
}

const DEFAULT_SCAN_LENGTH = 2_000
const SCAN_GROWTH = 4
const READ_LIMIT = 500

async function findCheckpoints (log: LogClient, from: Offset, to: Offset): Promise<Result<CheckpointSet, AppError>> {
  const set = createCheckpointSet()
  let next = from
  while (next < to) {
    const page = await log.read(CONTRACT_STREAM, next, { limit: READ_LIMIT })
    if (page.isErr()) return err(page.error)
    for (const record of page.value.records) {
      const decoded = decodeStreamRecord(record.data)
      if (decoded.isErr()) continue
      if (decoded.value.type === 'checkpoint') set.addPart(decoded.value, record)
      if (decoded.value.type === 'checkpoint-vote') set.addVote(decoded.value)
    }
    if (page.value.nextOffset <= next) break
    next = page.value.nextOffset
  }
  return ok(set)
}

function loadCheckpoint (set: CheckpointSet, bounds: LogBounds, { canUse, isFromEarliest }: LoadOptions): LoadedContracts | undefined {
  const usable = listUsableCheckpoints(set)
  for (const checkpoint of isFromEarliest ? usable.sort((a, b) => a.coversTo - b.coversTo) : usable) {
    if (checkpoint.coversTo < bounds.earliest || checkpoint.coversTo > bounds.next) continue
    const state = buildState(checkpoint.schedules, checkpoint.digest)
    if (state.isErr() || (canUse && !canUse(checkpoint, state.value))) continue
    return { state: state.value, nextOffset: checkpoint.coversTo, checkpoint }
  }
  return undefined
}

/**
 * Finds where to start; returns undefined when retention has removed records and no checkpoint is usable.
 * Errors: `log-unavailable`, `log-gap` when retention removes records during the search.
 */
export async function loadContracts (log: LogClient, options: LoadOptions = {}): Promise<Result<LoadedContracts | undefined, AppError>> {
  const read = await log.readBounds(CONTRACT_STREAM)
  if (read.isErr()) return err(read.error)
  const bounds = read.value
  const fromStart: LoadedContracts | undefined = bounds.earliest === 0 ? { state: new Map(), nextOffset: toBrand<Offset>(0) } : undefined
  let length = options.isFromEarliest ? bounds.next : options.scanLength ?? DEFAULT_SCAN_LENGTH
  // A short stream is read from its first record, which needs no trust in a checkpoint.
  if (fromStart && bounds.next <= length) return ok(fromStart)
  for (;;) {
    const from = toBrand<Offset>(Math.max(bounds.earliest, bounds.next - length))
    const set = await findCheckpoints(log, from, bounds.next)
    if (set.isErr()) return err(set.error)
    const loaded = loadCheckpoint(set.value, bounds, options)
    if (loaded) return ok(loaded)
    if (from <= bounds.earliest) return ok(fromStart)
    length *= SCAN_GROWTH
  }
}
