/**
 * The narrow interface to the platform's append-only log. Other modules use only this.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../errors.ts'
import type { Offset, StreamName } from '../types.ts'

/** One record of a stream. */
export interface LogRecord {
  offset: Offset
  /** When the log took the record, by the log's clock, in ms since 1970. For information only. */
  appendedAtMs: number
  data: Uint8Array
}

/** What a stream holds at present. */
export interface LogBounds {
  /** The smallest offset that is still kept; equal to `next` when the stream holds nothing. */
  earliest: Offset
  /** The offset from which the next read should go on to see only newer records. */
  next: Offset
}

/** A page of a stream. */
export interface LogPage {
  /** Records in offset order, from the asked offset on. */
  records: LogRecord[]
  /** Where the next read should start. */
  nextOffset: Offset
  bounds: LogBounds
}

/** How to read. */
export interface ReadOptions {
  /** The largest number of records to return. */
  limit?: number
  /** How long the log may hold the answer back while there is nothing new, in ms. */
  waitMs?: number
  /** Ends a waiting read early. */
  signal?: AbortSignal
}

/** The platform's log. */
export interface LogClient {
  /**
   * Appends one record and returns its offset.
   * Errors: `log-unavailable` when the record was certainly not taken, `log-unknown` when it may have been.
   */
  append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, AppError>>
  /** Reads from an offset. Errors: `log-unavailable`, `log-gap` when records from that offset have aged out. */
  read(stream: StreamName, from: Offset, options?: ReadOptions): Promise<Result<LogPage, AppError>>
  /** Reads the bounds of a stream. Errors: `log-unavailable`. */
  readBounds(stream: StreamName): Promise<Result<LogBounds, AppError>>
}
