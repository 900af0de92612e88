/**
 * Follows the contract stream: reads its records, folds them and puts contracts into force when they are due.
 */
import type { Clock } from '../../clock.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { LogClient, LogPage } from '../log-client.ts'
import { CONTRACT_STREAM, createContractBook } from './contract-book.ts'
import type { ContractBook } from './contract-book.ts'
import type { ContractRecord, ContractState } from './contract-state.ts'

/** What a follower needs. */
export interface ContractFollowerOptions {
  log: LogClient
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  /** How long one read waits for news, in ms. */
  pollMs?: number
  /** The pause after a failed read, in ms. */
  retryMs?: number
}

/** A contract state that follows the log by itself. */
export interface ContractFollower extends ContractState {
  /** Begins to follow; calling it again does nothing. */
  start(): void
  /** Resolves when every record that the log held at the start has been folded, or a peer has passed its records on. */
  waitUntilReady(): Promise<void>
  close(): Promise<void>
}

const DEFAULT_POLL_MS = 10_000
const DEFAULT_RETRY_MS = 500
const READ_LIMIT = 500
/** How often dates are looked at, in ms; a request looks at its customer's own. */
const DATE_CHECK_MS = 100

async function watchDates (book: ContractBook, clock: Clock, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await clock.wait(DATE_CHECK_MS, signal)
    book.inForce.updateWaiting()
  }
}

/** Creates a follower of the contract stream; it reads nothing before `start`. */
export function createContractFollower (options: ContractFollowerOptions): ContractFollower {
  const { log, clock, audit } = options
  const pollMs = options.pollMs ?? DEFAULT_POLL_MS
  const retryMs = options.retryMs ?? DEFAULT_RETRY_MS
  const stop = new AbortController()
  const book = createContractBook({ clock, audit })
  const tail: ContractRecord[] = []
  let running: Promise<unknown> | undefined
  let isReady = false
  let resolveReady: () => void = () => {}
  const ready = new Promise<void>((resolve) => { resolveReady = resolve })

  const markReady = (): void => {
    isReady = true
    resolveReady()
  }

  const applyRecord = ({ offset, data }: ContractRecord): boolean => {
    const isNew = book.applyRecord({ offset, data })
    if (isNew) tail.push({ offset, data })
    return isNew
  }

  const applyPage = (page: LogPage): void => {
    for (const record of page.records) applyRecord(record)
    book.advanceTo(page.nextOffset)
    if (book.getNextOffset() >= page.bounds.next) markReady()
  }

  const watchStream = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      // Until the end of the stream has been seen, an empty answer is news as well.
      const waitMs = isReady ? pollMs : 0
      const page = await log.read(CONTRACT_STREAM, book.getNextOffset(), { limit: READ_LIMIT, waitMs, signal: stop.signal })
      if (stop.signal.aborted) return
      if (page.isOk()) applyPage(page.value)
      else await clock.wait(retryMs, stop.signal)
    }
  }

  return {
    start () {
      running ??= Promise.all([watchStream(), watchDates(book, clock, stop.signal)])
    },
    waitUntilReady: () => ready,
    async close () {
      stop.abort()
      await running
    },
    getContract: book.getContract,
    listContracts: book.listContracts,
    getNextOffset: book.getNextOffset,
    listRecords: (from) => tail.filter((record) => record.offset >= from),
    addPeerRecords (previousOffset, records) {
      if (previousOffset > book.getNextOffset()) return 0
      const added = records.filter((record) => applyRecord(record)).length
      if (added > 0) markReady()
      return added
    },
    watchContracts: book.inForce.watchContracts
  }
}
