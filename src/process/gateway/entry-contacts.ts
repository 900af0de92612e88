/**
 * Finds the other gateways through the store: each writes where it receives datagrams to a topic, and reads the topic only
 * while it knows nobody. One that reads greets all that it finds, so that when many start at once few of them read. The
 * entry that reads for all also looks for others now and then, so that two fleets that lost each other meet again.
 */
import { z } from 'zod'
import type { DatagramAddress } from '../../connection/datagram-socket.ts'
import type { Clock } from '../../clock.ts'
import { describeCause } from '../../errors.ts'
import type { StoreEpoch } from '../../types.ts'
import type { KeyedRecord } from '../../platform/store-frames.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import type { PartLogger } from '../logger.ts'
import { isPort, isUnicastAddress } from '../../unicast-address.ts'
import type { MemberRecord } from '../gossip/member-record.ts'

/** Topic with the record of each entry, keyed by the entry's id. */
export const ENTRIES_TOPIC = 'keyed.entries'

/** Finds the other gateways. */
export interface EntryContacts {
  /** Starts to write the record of this entry, and to read those of the others while nobody is known. */
  start(): void
  /** Handles that the store has stated a later epoch: the record of this entry may be gone and is written again. */
  handleEpoch(): void
  close(): void
}

/** Options of `createEntryContacts`. */
export interface EntryContactsOptions {
  self: MemberRecord
  store: StoreClient
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Whether all entries start for the first time, so that no caller waits yet. */
  isFirstStart: boolean
  /** Whether another entry is known. */
  hasPeers(): boolean
  /** Whether this entry reads the store for all. */
  isReader(): boolean
  /** Called with the addresses of the other entries. */
  handleContacts(contacts: readonly DatagramAddress[]): void
}

/** Earliest and latest time from the start to the first read, in ms; chosen at random in between. */
const FIRST_READ_MS = { earliest: 20, latest: 400 }
/** The same when all entries start for the first time. */
const FIRST_START_READ_MS = { earliest: 400, latest: 2_000 }
/** Time between two checks whether this entry is still alone, in ms: doubles from the first to the last. */
const ALONE_CHECK_MS = { first: 500, last: 30_000 }
const RETRY_MS = 500
/** After a restore of the store the entries write their records within this time, at random, in ms. */
const REWRITE_SPREAD_MS = 1_000

const recordSchema = z.object({
  address: z.string().refine(isUnicastAddress),
  peerPort: z.number().refine(isPort)
})

function decodeContact (record: KeyedRecord): DatagramAddress | undefined {
  if (!record.value) return undefined
  try {
    const { address, peerPort } = recordSchema.parse(JSON.parse(Buffer.from(record.value).toString('utf8')))
    return { address, port: peerPort }
  } catch {
    return undefined
  }
}

/** Creates the search; it neither reads nor writes before `start`. */
export function createEntryContacts (options: EntryContactsOptions): EntryContacts {
  const { self, store, clock, random, logger } = options
  const stop = new AbortController()

  const writeOwnRecord = async (): Promise<boolean> => {
    const { zone, address, port, peerPort, run } = self
    const written = await store.append(ENTRIES_TOPIC, self.id, Buffer.from(JSON.stringify({ zone, address, port, peerPort, run })))
    if (written.isErr()) logger.warn('The record of this entry could not be written.', { error: written.error.message })
    else writtenInEpoch = written.value
    return written.isOk()
  }
  const readContacts = async (): Promise<boolean> => {
    const page = await store.readNewest(ENTRIES_TOPIC)
    if (page.isErr()) {
      logger.warn('The records of entries could not be read.', { error: page.error.message })
      return false
    }
    const others = page.value.records.filter(({ key }) => key !== self.id)
    const contacts = others.map(decodeContact)
    const skipped = contacts.filter((contact) => contact === undefined).length
    if (skipped > 0) logger.warn('Skipped records of entries that could not be decoded.', { count: skipped })
    options.handleContacts(contacts.filter((contact) => contact !== undefined))
    logger.info('Read the records of entries.', { count: others.length })
    return true
  }
  let writtenInEpoch: StoreEpoch | undefined
  const runRewriting = async (): Promise<void> => {
    await clock.wait(random() * REWRITE_SPREAD_MS, stop.signal)
    if (writtenInEpoch !== undefined && writtenInEpoch < store.getEpoch()) await runWriting()
  }
  const runWriting = async (): Promise<void> => {
    while (!stop.signal.aborted && !await writeOwnRecord()) await clock.wait(RETRY_MS, stop.signal)
  }
  const runReading = async (): Promise<void> => {
    const { earliest, latest } = options.isFirstStart ? FIRST_START_READ_MS : FIRST_READ_MS
    let pauseMs: number = ALONE_CHECK_MS.first
    await clock.wait(earliest + random() * (latest - earliest), stop.signal)
    while (!stop.signal.aborted) {
      const isSearching = !options.hasPeers() || (pauseMs === ALONE_CHECK_MS.last && options.isReader())
      const isRead = !isSearching || await readContacts()
      await clock.wait(isRead ? pauseMs * (1 + random()) : RETRY_MS, stop.signal)
      if (isRead) pauseMs = Math.min(ALONE_CHECK_MS.last, pauseMs * 2)
    }
  }
  const startTask = (name: string, task: () => Promise<void>): void => {
    task().catch((cause: unknown) => logger.error(`${name} failed and has stopped.`, { error: describeCause(cause) }))
  }
  return {
    start () {
      startTask('Writing the record of this entry', runWriting)
      startTask('Reading the records of entries', runReading)
    },
    handleEpoch: () => startTask('Writing the record of this entry again', runRewriting),
    close: () => stop.abort()
  }
}
