/**
 * Discovery between gateways: each writes its addresses to a topic of the store and reads those of the others.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../../clock.ts'
import type { PeerIdentity } from '../../connection/peer-frames.ts'
import { createError, describeCause } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import { toBrand } from '../../types.ts'
import type { EntryId, ZoneId } from '../../types.ts'
import type { HostListClient, ListedHost } from '../host-list-client.ts'
import type { PartLogger } from '../logger.ts'

/** Topic with the record of each entry, keyed by the entry's id. */
export const ENTRIES_TOPIC = 'keyed.entries'

/** Pauses before the reads that follow the first one, in ms; the last one repeats. Reads can be rare, since peers announce entries too. */
const READ_PAUSES_MS = [500, 4_000, 30_000]
const RETRY_MS = 500

const recordSchema = z.object({
  zone: z.string(),
  address: z.ipv4(),
  port: z.number().int(),
  peerPort: z.number().int(),
  // Entries of earlier releases leave it out.
  run: z.number().int().nonnegative().default(0)
})

/** The record of an entry in the store. */
export interface EntryRecord extends ListedHost {
  /** Start number of the entry's incarnation; increases with each start. */
  run: number
}

/** The directory of entries, used as the host list of the peer mesh. */
export interface EntryDirectory extends HostListClient {
  /** Starts to write the record of this entry and to read those of the others. */
  start(): void
  /** Stops writing and reading. */
  close(): void
}

/** The result of the first read of the store at a start. */
export interface InitialRecords {
  /** Start number of this incarnation. */
  run: number
  /** The records of all entries; undefined when the store was unavailable. */
  entryRecords: EntryRecord[] | undefined
}

/** Options of `createEntryDirectory`. */
export interface EntryDirectoryOptions {
  self: PeerIdentity
  initial: InitialRecords
  store: StoreClient
  clock: Clock
  logger: PartLogger
}

/** Maximum time that a start waits for the records of the store, in ms. */
const INITIAL_READ_TIMEOUT_MS = 300

function decodeEntryRecord (record: KeyedRecord): EntryRecord | undefined {
  if (!record.value) return undefined
  try {
    const entryRecord = recordSchema.parse(JSON.parse(Buffer.from(record.value).toString('utf8')))
    return { id: record.key, role: 'entry', state: 'live', ...entryRecord, zone: toBrand<ZoneId>(entryRecord.zone) }
  } catch {
    return undefined
  }
}

/** Reads the records of all entries; logs a failure and returns undefined when the store is unavailable. */
async function readEntryRecords (store: StoreClient, logger: PartLogger, timeoutMs?: number): Promise<EntryRecord[] | undefined> {
  const page = await store.readNewest(ENTRIES_TOPIC, timeoutMs === undefined ? {} : { timeoutMs })
  if (page.isErr()) {
    logger.warn('The records of entries could not be read.', { error: page.error.message })
    return undefined
  }
  const entryRecords = page.value.records.map(decodeEntryRecord)
  const skipped = entryRecords.filter((entryRecord) => entryRecord === undefined).length
  if (skipped > 0) logger.warn('Skipped records of entries that could not be decoded.', { count: skipped })
  return entryRecords.filter((entryRecord) => entryRecord !== undefined)
}

/**
 * Reads the records of all entries and chooses the start number of this incarnation: the time of day in ms, but above the
 * number of the previous incarnation in the store, since the time of day may have been set back. While the store is
 * unavailable the time of day alone decides.
 */
export async function readInitialRecords (options: { entry: EntryId, store: StoreClient, clock: Clock, logger: PartLogger }): Promise<InitialRecords> {
  const { entry, store, clock, logger } = options
  const entryRecords = await readEntryRecords(store, logger, INITIAL_READ_TIMEOUT_MS)
  const previous = entryRecords?.find(({ id }) => id === entry)
  return { entryRecords, run: Math.max(clock.wallMs(), (previous?.run ?? 0) + 1) }
}

/** Creates the directory; it neither reads nor writes before `start`. */
export function createEntryDirectory (options: EntryDirectoryOptions): EntryDirectory {
  const { self, initial: { run, entryRecords: initialRecords }, store, clock, logger } = options
  const stop = new AbortController()
  let hosts: ListedHost[] | undefined = initialRecords

  const writeOwnRecord = async (): Promise<boolean> => {
    const { zone, address, port, peerPort } = self
    const written = await store.append(ENTRIES_TOPIC, self.id, Buffer.from(JSON.stringify({ zone, address, port, peerPort, run })))
    if (written.isErr()) logger.warn('The record of this entry could not be written.', { error: written.error.message })
    return written.isOk()
  }
  const readHosts = async (): Promise<boolean> => {
    const entryRecords = await readEntryRecords(store, logger)
    hosts = entryRecords ?? hosts
    return entryRecords !== undefined
  }
  const runWriting = async (): Promise<void> => {
    while (!stop.signal.aborted && !await writeOwnRecord()) await clock.wait(RETRY_MS, stop.signal)
  }
  const runReading = async (): Promise<void> => {
    let isRead = initialRecords !== undefined
    for (let readCount = 0; !stop.signal.aborted; readCount++) {
      const pauseMs = READ_PAUSES_MS[Math.min(readCount, READ_PAUSES_MS.length - 1)] ?? RETRY_MS
      await clock.wait(isRead ? pauseMs : RETRY_MS, stop.signal)
      isRead = await readHosts()
    }
  }
  const runTask = (name: string, task: () => Promise<void>): void => {
    task().catch((cause: unknown) => logger.error(`${name} failed and has stopped.`, { error: describeCause(cause) }))
  }
  return {
    start () {
      runTask('Writing the record of this entry', runWriting)
      runTask('Reading the records of entries', runReading)
    },
    readHosts: async (): Promise<Result<ListedHost[], AppError>> =>
      hosts ? ok(hosts) : err(createError('host-list-unavailable', 'The records of entries have not been read from the store yet.')),
    close: () => stop.abort()
  }
}
