/**
 * Writes the audit trail to its stream, in batches, within a bounded buffer and rate.
 */
import { randomUUID } from 'node:crypto'
import { decode, encode } from 'cbor-x'
import { z } from 'zod'
import type { Clock } from '../../clock.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, StreamName } from '../../types.ts'
import type { LogClient } from '../log-client.ts'
import type { AuditEvent, AuditRecord, AuditTrail } from './audit-trail.ts'

/** The stream of the audit trail. */
export const AUDIT_STREAM = toBrand<StreamName>('audit')

/** What an audit trail needs. */
export interface AuditTrailOptions {
  log: LogClient
  clock: Clock
  entry: EntryId | 'operator'
  /** Events that may wait in memory. */
  largestWaiting?: number
  /** The shortest time between two appends, in ms. */
  intervalMs?: number
}

/** An audit trail with its end. */
export interface AuditLog extends AuditTrail {
  /** Begins to write; calling it again does nothing. */
  start(): void
  /** Stops writing; what still waits is lost unless it was flushed. */
  close(): Promise<void>
}

const DEFAULT_LARGEST_WAITING = 2_000
const DEFAULT_INTERVAL_MS = 1_000
const LARGEST_BATCH = 200
const LONGEST_ID = 128
const FLUSH_RETRY_MS = 200

const batchSchema = z.object({
  type: z.literal('audit'),
  v: z.literal(1),
  /** Names the batch; one that stands twice is one batch. */
  id: z.string().min(1).max(LONGEST_ID),
  records: z.array(z.object({
    atMs: z.number(),
    entry: z.string(),
    event: z.looseObject({ type: z.string() })
  }))
})

/** Events that were written in one append. */
export interface AuditBatch { id: string, records: AuditRecord[] }

/** Decodes a record of the audit stream; undefined when it is not one. */
export function decodeAuditBatch (data: Uint8Array): AuditBatch | undefined {
  try {
    const parsed = batchSchema.safeParse(decode(data))
    return parsed.success ? parsed.data as unknown as AuditBatch : undefined
  } catch {
    return undefined
  }
}

/** Events that wait to be written, with a count of those that found no room. */
interface EventBuffer {
  add(event: AuditEvent): void
  /** Takes a batch out; the first event states what was lost since the last one that was written. */
  takeBatch(): AuditRecord[]
  isEmpty(): boolean
  report(): { waiting: number, lost: number }
}

function createEventBuffer (toRecord: (event: AuditEvent) => AuditRecord, largestWaiting: number): EventBuffer {
  const waiting: AuditRecord[] = []
  let lost = 0
  let lostUntold = 0
  return {
    add (event) {
      if (waiting.length < largestWaiting) {
        waiting.push(toRecord(event))
        return
      }
      lost += 1
      lostUntold += 1
    },
    takeBatch () {
      const batch = waiting.splice(0, LARGEST_BATCH)
      if (lostUntold === 0) return batch
      const told = toRecord({ type: 'events-lost', count: lostUntold })
      lostUntold = 0
      return [told, ...batch]
    },
    isEmpty: () => waiting.length === 0 && lostUntold === 0,
    report: () => ({ waiting: waiting.length, lost })
  }
}

/** Creates an audit trail; it writes nothing before `start`. */
export function createAuditLog (options: AuditTrailOptions): AuditLog {
  const { log, clock, entry } = options
  const intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS
  const stop = new AbortController()
  const toRecord = (event: AuditEvent): AuditRecord => ({ atMs: clock.wallMs(), entry, event })
  const buffer = createEventBuffer(toRecord, options.largestWaiting ?? DEFAULT_LARGEST_WAITING)
  let running: Promise<void> | undefined
  let writing: Promise<boolean> | undefined
  let batch: AuditBatch | undefined
  let written = 0

  const hasWaiting = (): boolean => batch !== undefined || !buffer.isEmpty()

  /** Writes one batch; false when it is not known to be written. */
  const writeBatch = async (): Promise<boolean> => {
    if (!hasWaiting()) return true
    batch ??= { id: randomUUID(), records: buffer.takeBatch() }
    const appended = await log.append(AUDIT_STREAM, encode({ type: 'audit', v: 1, ...batch }))
    // Written again under its id when the answer was lost; readers take one batch once.
    if (appended.isErr()) return false
    written += batch.records.length
    batch = undefined
    return true
  }

  const writeOnce = (): Promise<boolean> => {
    writing ??= writeBatch().finally(() => { writing = undefined })
    return writing
  }

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await clock.wait(intervalMs, stop.signal)
      if (!stop.signal.aborted) await writeOnce()
    }
  }

  return {
    record: buffer.add,
    async flush (deadlineMs) {
      while (hasWaiting() && clock.monotonicMs() < deadlineMs) {
        if (!await writeOnce()) await clock.wait(FLUSH_RETRY_MS)
      }
    },
    report () {
      const { waiting, lost } = buffer.report()
      return { written, waiting: waiting + (batch?.records.length ?? 0), lost }
    },
    start () {
      running ??= run()
    },
    async close () {
      stop.abort()
      await running
    }
  }
}
