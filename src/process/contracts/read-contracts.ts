/**
 * Reads the contract stream once, to its current end.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Offset } from '../../types.ts'
import { foldPublish } from '../../version/contract-fold.ts'
import type { FoldState, FoldResult } from '../../version/contract-fold.ts'
import { decodeStreamRecord } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import { createError } from '../../errors.ts'
import type { LogClient, LogRecord } from '../log-client.ts'
import { CONTRACT_STREAM } from './contract-store.ts'
import { loadContracts } from './contract-loader.ts'

/** A folded state and the offset of the next record to fold. */
export interface StreamPosition { state: FoldState, nextOffset: Offset }

/** Called for each published record with the result of folding it. */
export type WatchFoldResult = (record: PublishRecord, result: FoldResult, source: LogRecord) => void

/** Options for reading the contract stream. */
export interface ReadContractsOptions {
  watchResult?: WatchFoldResult
  /** Starts as early as the log allows, instead of at the newest checkpoint. */
  isFromEarliest?: boolean
}

/** Folds the records from a position on and advances the position. */
export function foldRecords (position: StreamPosition, records: readonly LogRecord[], watchResult: WatchFoldResult): void {
  for (const record of records) {
    if (record.offset < position.nextOffset) continue
    position.nextOffset = record.offset + 1 as Offset
    const decoded = decodeStreamRecord(record.data)
    if (decoded.isErr() || decoded.value.type !== 'contract') continue
    watchResult(decoded.value, foldPublish(position.state, decoded.value, record.offset), record)
  }
}

/**
 * Reads and folds the stream to its current end. Errors: `log-unavailable`, `log-gap` when retention has removed records
 * that no usable checkpoint covers.
 */
export async function readContractStream (log: LogClient, options: ReadContractsOptions = {}): Promise<Result<StreamPosition, AppError>> {
  const loaded = await loadContracts(log, { isFromEarliest: options.isFromEarliest })
  if (loaded.isErr()) return err(loaded.error)
  if (!loaded.value) return err(createError('log-gap', 'The log has neither the first records nor a usable checkpoint.'))
  const position: StreamPosition = { state: loaded.value.state, nextOffset: loaded.value.nextOffset }
  for (;;) {
    const page = await log.read(CONTRACT_STREAM, position.nextOffset)
    if (page.isErr()) return err(page.error)
    foldRecords(position, page.value.records, options.watchResult ?? (() => {}))
    if (page.value.nextOffset > position.nextOffset) position.nextOffset = page.value.nextOffset
    if (position.nextOffset >= page.value.bounds.next) return ok(position)
  }
}
