/**
 * The options that the reader, queue and checkpoint writer of one claim stream share.
 */
import type { Clock } from '../../clock.ts'
import type { StreamName } from '../../types.ts'
import type { LogClient } from '../log-client.ts'
import type { TurnPacer } from './turn-pacer.ts'

/** One claim stream, and the process that reads and appends to it. */
export interface ClaimStreamOptions {
  log: LogClient
  clock: Clock
  stream: StreamName
  /** Incarnation of this process. */
  writer: string
  /** Limits the append rate of this process, over all its streams. */
  pacer: TurnPacer
  /** Returns a number from 0 to below 1, for jitter. */
  random: () => number
  /** Returns the next sequence number of this process; a nonce is the writer with this number. */
  buildSeq: () => number
}
