/**
 * The one client of the platform's store: keyed topics are read in full, followed by offset, and appended to.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { createLogConnections } from '../process/log-connections.ts'
import type { LogAnswer } from '../process/log-connections.ts'
import type { HostPort } from './boot-file.ts'
import { decodeKeyedRecord, decodePage, encodeKeyedRecord } from './store-frames.ts'
import type { KeyedRecord } from './store-frames.ts'

/** The operator's topic; the configuration is the newest record under `CONFIGURATION_KEY`. */
export const OPERATOR_TOPIC = 'keyed.op'
export const CONFIGURATION_KEY = 'config'
/** Reports of targets, each under the target's id. */
export const TARGETS_TOPIC = 'keyed.servers'

const STATUS_OK = 200
const STATUS_GONE = 410
/** How long a read may take beyond the wait that it asked for, in ms. */
const READ_TIMEOUT_MS = 800
const APPEND_TIMEOUT_MS = 2_000

/** A stretch of a keyed topic. */
export interface KeyedPage {
  records: KeyedRecord[]
  /** Where the next read goes on. */
  next: number
  /** Records without a whole key; they were skipped. */
  malformed: number
}

/** Calls to the store since the start. */
export interface StoreUse { reads: number, appends: number, failures: number, receivedBytes: number }

/** How to read on. */
export interface FollowOptions {
  /** How long the store may hold the answer back while there is nothing new, in ms. */
  waitMs: number
  /** How long the answer may take beyond that, in ms. Default 800. */
  timeoutMs?: number
  signal?: AbortSignal
}

/** The platform's store. Errors of all calls: `log-unavailable`; reads also `log-gap` and `record-malformed`. */
export interface StoreClient {
  /** Reads the newest record of each key. */
  readNewest(topic: string, options?: Pick<FollowOptions, 'timeoutMs'>): Promise<Result<KeyedPage, AppError>>
  /** Reads records from an offset on. `log-gap`: they are no longer kept; read the newest ones instead. */
  readFrom(topic: string, from: number, options: FollowOptions): Promise<Result<KeyedPage, AppError>>
  /** Appends one record. `log-unknown`: it may have been taken. */
  append(topic: string, key: string, value: Uint8Array): Promise<Result<void, AppError>>
  report(): StoreUse
  close(): Promise<void>
}

const newestSchema = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string(), offset: z.number().int().nonnegative() })),
  more: z.boolean(),
  end: z.number().int().nonnegative()
})

/** Computes the next offset after a page: after its last record, or where it began. */
function toKeyedPage (records: readonly { offset: number, data: Uint8Array }[], from: number): KeyedPage {
  const decoded = records.map(({ offset, data }) => decodeKeyedRecord(offset, data))
  const whole = decoded.filter((record) => record !== undefined)
  return { records: whole, next: from + records.length, malformed: decoded.length - whole.length }
}

function parseNewest (answer: LogAnswer): Result<z.infer<typeof newestSchema>, AppError> {
  try {
    return ok(newestSchema.parse(JSON.parse(Buffer.from(answer.body).toString('utf8'))))
  } catch (cause) {
    return err(createError('record-malformed', `The store's answer cannot be read: ${describeCause(cause)}`, cause))
  }
}

/** Creates the client. */
export function createStoreClient (options: { store: HostPort, clock: Clock }): StoreClient {
  const { store, clock } = options
  const connections = createLogConnections({ url: `http://${store.address}:${store.port}`, clock })
  const use: StoreUse = { reads: 0, appends: 0, failures: 0, receivedBytes: 0 }

  const readAnswer = async (path: string, { waitMs, timeoutMs = READ_TIMEOUT_MS, signal }: FollowOptions): Promise<Result<LogAnswer, AppError>> => {
    use.reads += 1
    const sent = await connections.send({ method: 'GET', path, limitMs: timeoutMs + waitMs, signal })
    if (sent.isErr()) {
      use.failures += 1
      return err(createError('log-unavailable', `The store gave no answer: ${describeCause(sent.error.cause)}`, sent.error.cause))
    }
    use.receivedBytes += sent.value.body.byteLength
    if (sent.value.status === STATUS_OK) return ok(sent.value)
    if (sent.value.status === STATUS_GONE) return err(createError('log-gap', 'The store no longer keeps the records asked for.'))
    use.failures += 1
    return err(createError('log-unavailable', `The store answered ${sent.value.status}.`))
  }

  const readNewest: StoreClient['readNewest'] = async (topic, options = {}): Promise<Result<KeyedPage, AppError>> => {
    const records: KeyedRecord[] = []
    let after: string | undefined
    // Pages are no snapshot: following begins at the end that the first page named, and records may come twice.
    let next: number | undefined
    for (;;) {
      const query = new URLSearchParams({ topic, part: '0', ...(after === undefined ? {} : { after }) })
      const answer = await readAnswer(`/log-newest?${query}`, { ...options, waitMs: 0 })
      if (answer.isErr()) return err(answer.error)
      const page = parseNewest(answer.value)
      if (page.isErr()) return err(page.error)
      next ??= page.value.end
      for (const { key, value, offset } of page.value.items) records.push({ key, offset, value: Buffer.from(value, 'base64') })
      after = page.value.items.at(-1)?.key
      if (!page.value.more || after === undefined) return ok({ records, next, malformed: 0 })
    }
  }

  return {
    readNewest,
    async readFrom (topic, from, follow) {
      const query = new URLSearchParams({ topic, part: '0', from: String(from), waitMs: String(Math.round(follow.waitMs)) })
      const answer = await readAnswer(`/log-read?${query}`, follow)
      if (answer.isErr()) return err(answer.error)
      return decodePage(answer.value.body, from).map((page) => toKeyedPage(page.records, from))
    },
    async append (topic, key, value) {
      use.appends += 1
      const body = encodeKeyedRecord(key, value)
      const sent = await connections.send({ method: 'POST', path: `/log-append?topic=${topic}&part=0`, limitMs: APPEND_TIMEOUT_MS, body })
      if (sent.isErr()) {
        use.failures += 1
        const kind = sent.error.isNeverSent ? 'log-unavailable' : 'log-unknown'
        return err(createError(kind, `The append was not answered: ${describeCause(sent.error.cause)}`, sent.error.cause))
      }
      if (sent.value.status === STATUS_OK) return ok(undefined)
      use.failures += 1
      return err(createError('log-unavailable', `The store answered the append with ${sent.value.status}.`))
    },
    report: () => ({ ...use }),
    close: connections.close
  }
}
