/**
 * Writes the audit trail to its stream in batches, with a bounded buffer and append rate.
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

/** Options for an audit trail. */
export interface AuditTrailOptions {
  log: LogClient
  clock: Clock
  entry: EntryId | 'operator'
  /** Maximum number of events that wait in memory. Default 2,000. */
  maxWaitingEvents?: number
  /** Minimum time between appends, in ms; `flush` does not keep to it. Default 1,000. */
  intervalMs?: number
}

/** An audit trail that writes to the log. */
export interface AuditLog extends AuditTrail {
  /** Starts writing; later calls have no effect. */
  start(): void
  /** Stops writing; events that still wait are not written. Call `flush` first. */
  close(): Promise<void>
}

const DEFAULT_MAX_WAITING = 2_000
const DEFAULT_INTERVAL_MS = 1_000
const MAX_BATCH_EVENTS = 200
const MAX_ID_CHARS = 128
const FLUSH_RETRY_WAIT_MS = 200

const batchSchema = z.object({
  type: z.literal('audit'),
  v: z.literal(1),
  /** Identifies the batch; a duplicate append of it has the same id. */
  id: z.string().min(1).max(MAX_ID_CHARS),
  records: z.array(z.object({
    atMs: z.number(),
    entry: z.string(),
    event: z.looseObject({ type: z.string() })
  }))
})

/** Events that were written in one append. */
export interface AuditBatch { id: string, records: AuditRecord[] }

/** Decodes a record of the audit stream; returns undefined when it is malformed. */
export function decodeAuditBatch (data: Uint8Array): AuditBatch | undefined {
  try {
    const parsed = batchSchema.safeParse(decode(data))
    return parsed.success ? parsed.data as unknown as AuditBatch : undefined
  } catch {
    return undefined
  }
}

/** Events that wait to be written, and the number of events dropped because the buffer was full. */
interface EventBuffer {
  add(event: AuditEvent): void
  /** Removes and returns a batch; its first event states how many events were lost since the last batch, if any. */
  takeBatch(): AuditRecord[]
  isEmpty(): boolean
  report(): { waiting: number, lost: number }
}

function createEventBuffer (toRecord: (event: AuditEvent) => AuditRecord, maxWaitingEvents: number): EventBuffer {
  const waiting: AuditRecord[] = []
  let lost = 0
  let unreportedLostCount = 0
  return {
    add (event) {
      if (waiting.length < maxWaitingEvents) {
        waiting.push(toRecord(event))
        return
      }
      lost += 1
      unreportedLostCount += 1
    },
    takeBatch () {
      const batch = waiting.splice(0, MAX_BATCH_EVENTS)
      if (unreportedLostCount === 0) return batch
      const lostEvent = toRecord({ type: 'events-lost', count: unreportedLostCount })
      unreportedLostCount = 0
      return [lostEvent, ...batch]
    },
    isEmpty: () => waiting.length === 0 && unreportedLostCount === 0,
    report: () => ({ waiting: waiting.length, lost })
  }
}

/** Creates an audit trail; it writes nothing before `start`. */
export function createAuditLog (options: AuditTrailOptions): AuditLog {
  const { log, clock, entry } = options
  const intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS
  const stop = new AbortController()
  const toRecord = (event: AuditEvent): AuditRecord => ({ atMs: clock.wallMs(), entry, event })
  const buffer = createEventBuffer(toRecord, options.maxWaitingEvents ?? DEFAULT_MAX_WAITING)
  let running: Promise<void> | undefined
  let writing: Promise<boolean> | undefined
  let batch: AuditBatch | undefined
  let written = 0

  const hasWaiting = (): boolean => batch !== undefined || !buffer.isEmpty()

  /** Writes one batch; returns false when the log did not confirm it. */
  const writeBatch = async (): Promise<boolean> => {
    if (!hasWaiting()) return true
    batch ??= { id: randomUUID(), records: buffer.takeBatch() }
    const appended = await log.append(AUDIT_STREAM, encode({ type: 'audit', v: 1, ...batch }))
    // An unconfirmed batch is written again with the same id, by which readers drop duplicates.
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
        if (!await writeOnce()) await clock.wait(FLUSH_RETRY_WAIT_MS)
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
