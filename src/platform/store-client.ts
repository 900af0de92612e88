/**
 * The client of the platform's store. It reads the newest record of each key of a topic, follows a topic by offset, and
 * appends records.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { createLogConnections } from '../process/log-connections.ts'
import type { LogResponse } from '../process/log-connections.ts'
import { toBrand } from '../types.ts'
import type { StoreEpoch } from '../types.ts'
import type { HostPort } from '../unicast-address.ts'
import { decodeKeyedRecord, decodePage, encodeKeyedRecord } from './store-frames.ts'
import type { KeyedRecord, StorePage } from './store-frames.ts'

/** The topic of the operator. The configuration is the newest record under `CONFIGURATION_KEY`. */
export const OPERATOR_TOPIC = 'keyed.op'
/** The key of the configuration in `OPERATOR_TOPIC`. */
export const CONFIGURATION_KEY = 'config'
/** The topic of target reports; the key is the target's id. */
export const TARGETS_TOPIC = 'keyed.servers'

/** On each response of the store: the epoch of its content. */
const EPOCH_HEADER = 'store-era'
const EPOCH_PATTERN = /^\d{1,15}$/
const STATUS_OK = 200
const STATUS_GONE = 410
/** The time limit of a read on top of the wait that it requests, in ms. */
const READ_TIMEOUT_MS = 800
const APPEND_TIMEOUT_MS = 2_000

/** A range of records of a keyed topic. */
export interface KeyedPage {
  records: KeyedRecord[]
  /** The offset from which to read next. */
  next: number
  /** Whether the store held no record beyond these. */
  isEnd: boolean
  /** The number of records that were skipped because their key is incomplete. */
  malformed: number
  /** The epoch to which the offsets belong. */
  epoch: StoreEpoch
}

/** Counts of calls to the store since the process started. */
export interface StoreUse { reads: number, appends: number, failures: number, receivedBytes: number }

/** Options for reading from an offset. */
export interface FollowOptions {
  /** How long the store may delay its response while there are no new records, in ms. */
  waitMs: number
  /** How long the response may take on top of `waitMs`, in ms. Default 800. */
  timeoutMs?: number
  signal?: AbortSignal
}

/** A client of the platform's store. Errors of all calls: `log-unavailable`; of reads also `log-gap` and `record-malformed`. */
export interface StoreClient {
  /** Reads the newest record of each key. */
  readNewest(topic: string, options?: Pick<FollowOptions, 'timeoutMs'>): Promise<Result<KeyedPage, AppError>>
  /** Reads records from an offset on. `log-gap`: the store no longer keeps them; call `readNewest` instead. */
  readFrom(topic: string, from: number, options: FollowOptions): Promise<Result<KeyedPage, AppError>>
  /** Appends one record, and returns the epoch to which it belongs. `log-unknown`: the store may have stored it. */
  append(topic: string, key: string, value: Uint8Array): Promise<Result<StoreEpoch, AppError>>
  /** Returns the highest epoch that a response of the store has stated. */
  getEpoch(): StoreEpoch
  /** Returns the counts of calls. */
  report(): StoreUse
  /** Closes all connections. */
  close(): Promise<void>
}

const newestSchema = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string(), offset: z.number().int().nonnegative() })),
  more: z.boolean(),
  end: z.number().int().nonnegative()
})

/** Decodes the keyed records of a page that begins at `from` and skips those without a complete key. */
function toKeyedPage ({ records, end }: StorePage, from: number, epoch: StoreEpoch): KeyedPage {
  const decoded = records.map(({ offset, data }) => decodeKeyedRecord(offset, data))
  const complete = decoded.filter((record) => record !== undefined)
  const next = from + records.length
  return { records: complete, next, isEnd: next >= end, malformed: decoded.length - complete.length, epoch }
}

/** The body of a successful read, and the epoch that the response states. */
interface ReadResponse { body: Uint8Array, epoch: StoreEpoch }

function parseNewest ({ body }: ReadResponse): Result<z.infer<typeof newestSchema>, AppError> {
  try {
    return ok(newestSchema.parse(JSON.parse(Buffer.from(body).toString('utf8'))))
  } catch (cause) {
    return err(createError('record-malformed', `The store's response cannot be decoded: ${describeCause(cause)}`, cause))
  }
}

/** Options of `createStoreClient`. */
export interface StoreClientOptions {
  store: HostPort
  clock: Clock
  /** Called when a response states a higher epoch than all before, with the highest one before; also for responses with an error status. */
  handleEpoch(epoch: StoreEpoch, before: StoreEpoch): void
  /** Called when a response states an epoch that cannot be decoded; the highest one before counts as its epoch. */
  handleMalformedEpoch(text: string): void
}

/** Creates a client of the store. */
export function createStoreClient (options: StoreClientOptions): StoreClient {
  const { store, clock } = options
  const connections = createLogConnections({ url: `http://${store.address}:${store.port}`, clock })
  const use: StoreUse = { reads: 0, appends: 0, failures: 0, receivedBytes: 0 }

  let highestEpoch = toBrand<StoreEpoch>(0)
  /** Returns the epoch that a response states. */
  const readEpoch = ({ headers }: LogResponse): StoreEpoch => {
    const text = String(headers[EPOCH_HEADER] ?? highestEpoch)
    if (!EPOCH_PATTERN.test(text)) {
      options.handleMalformedEpoch(text)
      return highestEpoch
    }
    const epoch = toBrand<StoreEpoch>(Number(text))
    const before = highestEpoch
    highestEpoch = toBrand<StoreEpoch>(Math.max(before, epoch))
    if (epoch > before) options.handleEpoch(epoch, before)
    return epoch
  }
  const sendRead = async (path: string, { waitMs, timeoutMs = READ_TIMEOUT_MS, signal }: FollowOptions): Promise<Result<ReadResponse, AppError>> => {
    use.reads += 1
    const sent = await connections.send({ method: 'GET', path, limitMs: timeoutMs + waitMs, signal })
    if (sent.isErr()) {
      use.failures += 1
      return err(createError('log-unavailable', `The store did not respond: ${describeCause(sent.error.cause)}`, sent.error.cause))
    }
    use.receivedBytes += sent.value.body.byteLength
    const epoch = readEpoch(sent.value)
    if (sent.value.status === STATUS_OK) return ok({ body: sent.value.body, epoch })
    if (sent.value.status === STATUS_GONE) return err(createError('log-gap', 'The store no longer keeps the requested records.'))
    use.failures += 1
    return err(createError('log-unavailable', `The store responded with status ${sent.value.status}.`))
  }

  const readNewest: StoreClient['readNewest'] = async (topic, options = {}): Promise<Result<KeyedPage, AppError>> => {
    const records: KeyedRecord[] = []
    let after: string | undefined
    // The pages are not a consistent snapshot, so following starts at the end stated by the first page; records may be read twice.
    let next: number | undefined
    let epoch: StoreEpoch | undefined
    for (;;) {
      const query = new URLSearchParams({ topic, part: '0', ...(after === undefined ? {} : { after }) })
      const response = await sendRead(`/log-newest?${query}`, { ...options, waitMs: 0 })
      if (response.isErr()) return err(response.error)
      const page = parseNewest(response.value)
      if (page.isErr()) return err(page.error)
      epoch ??= response.value.epoch
      if (response.value.epoch !== epoch) return err(createError('log-gap', `The store was restored between two pages of one read: epoch ${epoch} became ${response.value.epoch}.`))
      next ??= page.value.end
      for (const { key, value, offset } of page.value.items) records.push({ key, offset, value: Buffer.from(value, 'base64') })
      after = page.value.items.at(-1)?.key
      if (!page.value.more || after === undefined) return ok({ records, next, isEnd: true, malformed: 0, epoch })
    }
  }

  return {
    readNewest,
    async readFrom (topic, from, follow) {
      const query = new URLSearchParams({ topic, part: '0', from: String(from), waitMs: String(Math.round(follow.waitMs)) })
      const response = await sendRead(`/log-read?${query}`, follow)
      if (response.isErr()) return err(response.error)
      const { body, epoch } = response.value
      return decodePage(body, from).map((page) => toKeyedPage(page, from, epoch))
    },
    async append (topic, key, value) {
      use.appends += 1
      const body = encodeKeyedRecord(key, value)
      const sent = await connections.send({ method: 'POST', path: `/log-append?topic=${topic}&part=0`, limitMs: APPEND_TIMEOUT_MS, body })
      if (sent.isErr()) {
        use.failures += 1
        const kind = sent.error.isNeverSent ? 'log-unavailable' : 'log-unknown'
        return err(createError(kind, `The store did not respond to the append: ${describeCause(sent.error.cause)}`, sent.error.cause))
      }
      const epoch = readEpoch(sent.value)
      if (sent.value.status === STATUS_OK) return ok(epoch)
      use.failures += 1
      return err(createError('log-unavailable', `The store responded to the append with status ${sent.value.status}.`))
    },
    getEpoch: () => highestEpoch,
    report: () => ({ ...use }),
    close: connections.close
  }
}
