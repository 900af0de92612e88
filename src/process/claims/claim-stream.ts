/**
 * What all parts of the work on one claim stream are given.
 */
import type { Clock } from '../../clock.ts'
import type { StreamName } from '../../types.ts'
import type { LogClient } from '../log-client.ts'
import type { TurnPacer } from './turn-pacer.ts'

/** One claim stream, and the process that works with it. */
export interface ClaimStreamOptions {
  log: LogClient
  clock: Clock
  stream: StreamName
  /** Incarnation of this process. */
  writer: string
  /** Keeps the appends of this process below its share. */
  pacer: TurnPacer
  /** Returns a number from 0 to below 1, for jitter. */
  random: () => number
  /** Numbers the nonces of this process; never the same twice. */
  buildSeq: () => number
}
