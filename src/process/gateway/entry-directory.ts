/**
 * How gateways find each other: each writes its own place to a topic of the store, and reads those of the others.
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

/** The topic of our own in which entries name their places. */
export const ENTRIES_TOPIC = 'keyed.entries'

/** Pauses after the reads that follow the first one, in ms; the last one goes on. Links tell of entries as well. */
const READ_PAUSES_MS = [500, 4_000, 30_000]
const RETRY_MS = 500

const placeSchema = z.object({
  zone: z.string(),
  address: z.ipv4(),
  port: z.number().int(),
  peerPort: z.number().int(),
  // The number of the run that wrote the place; entries of earlier releases leave it out.
  run: z.number().int().nonnegative().default(0)
})

/** An entry as it names itself in the store. */
export interface EntryPlace extends ListedHost {
  /** Grows with each run of the entry. */
  run: number
}

/** The directory. It stands in for the platform's list of hosts. */
export interface EntryDirectory extends HostListClient {
  start(): void
  close(): void
}

/** What a start finds in the store. */
export interface FirstPlaces {
  /** The number of this run. */
  run: number
  /** The places of all entries; undefined when the store did not answer. */
  places: EntryPlace[] | undefined
}

/** How to create a directory. */
export interface EntryDirectoryOptions {
  self: PeerIdentity
  first: FirstPlaces
  store: StoreClient
  clock: Clock
  logger: PartLogger
}

/** A start waits no longer than this for the place of the run before, in ms. */
const FIRST_READ_TIMEOUT_MS = 300

function decodePlace (record: KeyedRecord): EntryPlace | undefined {
  if (!record.value) return undefined
  try {
    const place = placeSchema.parse(JSON.parse(Buffer.from(record.value).toString('utf8')))
    return { id: record.key, role: 'entry', state: 'live', ...place, zone: toBrand<ZoneId>(place.zone) }
  } catch {
    return undefined
  }
}

/** Reads the places of all entries; undefined, with a log line, when the store does not answer. */
async function readPlaces (store: StoreClient, logger: PartLogger, timeoutMs?: number): Promise<EntryPlace[] | undefined> {
  const page = await store.readNewest(ENTRIES_TOPIC, timeoutMs === undefined ? {} : { timeoutMs })
  if (page.isErr()) {
    logger.warn('The places of entries could not be read.', { error: page.error.message })
    return undefined
  }
  const places = page.value.records.map(decodePlace)
  const skipped = places.filter((place) => place === undefined).length
  if (skipped > 0) logger.warn('Skipped places of entries that cannot be read.', { count: skipped })
  return places.filter((place) => place !== undefined)
}

/**
 * Reads the places of all entries and chooses the number of this run: above that of the run before, which the store
 * knows although the time of day may have been set back since. While the store is away the time of day alone decides.
 */
export async function readFirstPlaces (options: { entry: EntryId, store: StoreClient, clock: Clock, logger: PartLogger }): Promise<FirstPlaces> {
  const { entry, store, clock, logger } = options
  const places = await readPlaces(store, logger, FIRST_READ_TIMEOUT_MS)
  const before = places?.find(({ id }) => id === entry)
  return { places, run: Math.max(clock.wallMs(), (before?.run ?? 0) + 1) }
}

/** Creates the directory; nothing happens before `start`. */
export function createEntryDirectory (options: EntryDirectoryOptions): EntryDirectory {
  const { self, first: { run, places: firstPlaces }, store, clock, logger } = options
  const stop = new AbortController()
  let hosts: ListedHost[] | undefined = firstPlaces

  const writeSelf = async (): Promise<boolean> => {
    const { zone, address, port, peerPort } = self
    const written = await store.append(ENTRIES_TOPIC, self.id, Buffer.from(JSON.stringify({ zone, address, port, peerPort, run })))
    if (written.isErr()) logger.warn('The place of this entry could not be written.', { error: written.error.message })
    return written.isOk()
  }
  const readHosts = async (): Promise<boolean> => {
    const places = await readPlaces(store, logger)
    hosts = places ?? hosts
    return places !== undefined
  }
  const runWriting = async (): Promise<void> => {
    while (!stop.signal.aborted && !await writeSelf()) await clock.wait(RETRY_MS, stop.signal)
  }
  const runReading = async (): Promise<void> => {
    let isRead = firstPlaces !== undefined
    for (let turn = 0; !stop.signal.aborted; turn++) {
      const pauseMs = READ_PAUSES_MS[Math.min(turn, READ_PAUSES_MS.length - 1)] ?? RETRY_MS
      await clock.wait(isRead ? pauseMs : RETRY_MS, stop.signal)
      isRead = await readHosts()
    }
  }
  const runTask = (name: string, task: () => Promise<void>): void => {
    task().catch((cause: unknown) => logger.error(`${name} ended.`, { error: describeCause(cause) }))
  }
  return {
    start () {
      runTask('Writing the place of this entry', runWriting)
      runTask('Reading the places of entries', runReading)
    },
    readHosts: async (): Promise<Result<ListedHost[], AppError>> =>
      hosts ? ok(hosts) : err(createError('host-list-unavailable', 'The places of entries have not been read yet.')),
    close: () => stop.abort()
  }
}
