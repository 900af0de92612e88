/**
 * Reads the contract stream once, from its start to its present end.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import { foldPublish } from '../../version/contract-fold.ts'
import type { FoldState, FoldVerdict } from '../../version/contract-fold.ts'
import { decodeStreamRecord } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import type { LogClient, LogRecord } from '../log-client.ts'
import { CONTRACT_STREAM } from './contract-book.ts'

/** A state and the offset from which the next record is expected. */
export interface StreamPosition { state: FoldState, nextOffset: Offset }

/** Called for each published record with what the fold said of it. */
export type WatchVerdict = (record: PublishRecord, verdict: FoldVerdict, source: LogRecord) => void

/** Reads and folds the stream to its present end. Errors: `log-unavailable`, `log-gap`. */
export async function readContractStream (log: LogClient, watchVerdict: WatchVerdict = () => {}): Promise<Result<StreamPosition, AppError>> {
  const position: StreamPosition = { state: new Map(), nextOffset: toBrand<Offset>(0) }
  for (;;) {
    const page = await log.read(CONTRACT_STREAM, position.nextOffset)
    if (page.isErr()) return err(page.error)
    for (const record of page.value.records) {
      const decoded = decodeStreamRecord(record.data)
      if (decoded.isErr() || decoded.value.type !== 'contract') continue
      watchVerdict(decoded.value, foldPublish(position.state, decoded.value, record.offset), record)
    }
    position.nextOffset = page.value.nextOffset
    if (position.nextOffset >= page.value.bounds.next) return ok(position)
  }
}
