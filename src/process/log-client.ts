/**
 * The interface to the platform's append-only log. Modules other than the client itself depend only on this.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../errors.ts'
import type { Offset, StreamName } from '../types.ts'

/** One record of a stream. */
export interface LogRecord {
  offset: Offset
  /** When the log stored the record, by the log's own clock, in ms since 1970. For information only. */
  appendedAtMs: number
  data: Uint8Array
}

/** The range of offsets that a stream holds at present. */
export interface LogBounds {
  /** The smallest offset that is still kept; equal to `next` when the stream is empty. */
  earliest: Offset
  /** The offset after the newest record; a read from here returns only records appended later. */
  next: Offset
}

/** A page of a stream. */
export interface LogPage {
  /** Records in offset order, from the requested offset on. */
  records: LogRecord[]
  /** The offset from which to read next. */
  nextOffset: Offset
  bounds: LogBounds
}

/** Options of a read. */
export interface ReadOptions {
  /** The maximum number of records to return. */
  limit?: number
  /** How long the log may delay its response while there are no new records, in ms. */
  waitMs?: number
  /** Cancels the read. */
  signal?: AbortSignal
}

/** A client of the platform's log. */
export interface LogClient {
  /**
   * Appends one record and returns its offset.
   * Errors: `log-unavailable` when the record was certainly not stored, `log-unknown` when it may have been.
   */
  append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, AppError>>
  /** Reads from an offset. Errors: `log-unavailable`, `log-gap` when records from that offset have expired. */
  read(stream: StreamName, from: Offset, options?: ReadOptions): Promise<Result<LogPage, AppError>>
  /** Reads the bounds of a stream. Errors: `log-unavailable`. */
  readBounds(stream: StreamName): Promise<Result<LogBounds, AppError>>
}
