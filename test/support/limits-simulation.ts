import { err, ok } from 'neverthrow'
import { createTestClock } from '../../src/clock.ts'
import type { Clock, TestClock } from '../../src/clock.ts'
import { createError } from '../../src/errors.ts'
import type { CustomerLimiter, RequestPermit } from '../../src/process/limits/customer-limiter.ts'
import { createGrantedLimiter } from '../../src/process/limits/granted-limiter.ts'
import type { GrantedLimiterOptions } from '../../src/process/limits/granted-limiter.ts'
import type { LogClient } from '../../src/process/log-client.ts'
import { toBrand } from '../../src/types.ts'
import type { EntryId, Incarnation } from '../../src/types.ts'
import type { Contract } from '../../src/version/contract.ts'
import { createLogStore } from '../../stand-ins/log-store.ts'
import type { LogStore } from '../../stand-ins/log-store.ts'

const DEFAULT_LATENCY_MS = 4
const LOG_TIMEOUT_MS = 300
const STEP_MS = 50

/** One simulated entry process. */
export interface SimulatedEntry {
  id: EntryId
  limiter: CustomerLimiter
  /** Requests that arrive in a second. */
  offeredPerSecond: number
  /** How long each request takes, in ms. */
  workMs: number
  isPaused: boolean
  isPartitioned: boolean
  /** Added to the host's wall clock. */
  wallSkewMs: number
  admitted: number
  offered: number
  inProgress: number
  /** Requests due but not sent yet; a fraction is carried over to the next step. */
  dueCount: number
}

/** Creates the limiter of an entry; tests pass others than the project's own to show that the check detects them. */
export type LimiterFactory = (options: { clock: Clock, log: LogClient, entry: EntryId, run: Incarnation }) => CustomerLimiter

/** Several entries with one log and one customer. Time advances only in `runFor`. */
export interface LimitsSimulation {
  entries: SimulatedEntry[]
  log: { isDown: boolean, losesResponses: boolean, latencyMs: number, store: LogStore }
  addEntry(id: string, options?: Partial<Pick<SimulatedEntry, 'offeredPerSecond' | 'workMs'>>): SimulatedEntry
  runFor(ms: number): Promise<void>
  setPaused(entry: SimulatedEntry, isPaused: boolean): void
  /** Returns the largest number of admissions over all entries within any second so far. */
  getMaxRate(): number
  getMaxConcurrency(): number
  close(): void
}

/** Creates the project's own limiter and starts it. */
export const createOwnLimiter = (options: Parameters<LimiterFactory>[0] & Pick<GrantedLimiterOptions, 'holder'>): CustomerLimiter => {
  const limiter = createGrantedLimiter({ ...options, tickMs: 50 })
  limiter.start()
  return limiter
}

/** Holds back the actions of a paused process until it resumes. */
function createPauseGate () {
  const held: (() => void)[] = []
  return {
    held,
    runAll () {
      for (const action of held.splice(0)) action()
    }
  }
}

function createEntryClock (clock: TestClock, entry: SimulatedEntry, held: (() => void)[], drift: number): Clock {
  const startTimer = (delayMs: number, action: () => void) => {
    let isCancelled = false
    const cancel = clock.startTimer(delayMs, () => {
      if (!entry.isPaused) return action()
      held.push(() => { if (!isCancelled) action() })
    })
    return () => {
      isCancelled = true
      cancel()
    }
  }
  return {
    monotonicMs: () => clock.monotonicMs() * (1 + drift),
    wallMs: () => clock.wallMs() + entry.wallSkewMs,
    startTimer,
    wait: (delayMs, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const stopEarly = () => {
        cancel()
        resolve()
      }
      const cancel = startTimer(delayMs, () => {
        signal?.removeEventListener('abort', stopEarly)
        resolve()
      })
      signal?.addEventListener('abort', stopEarly, { once: true })
    })
  }
}

function createEntryLog (clock: TestClock, own: Clock, log: LimitsSimulation['log'], entry: SimulatedEntry): LogClient {
  const isCut = () => log.isDown || entry.isPartitioned
  const createUnavailable = () => err(createError('log-unavailable', 'cut off'))
  return {
    async append (stream, data) {
      if (isCut()) {
        await own.wait(LOG_TIMEOUT_MS)
        return createUnavailable()
      }
      // The log accepts the record by its own clock, whether or not the writer is paused meanwhile.
      const taken = clock.wait(log.latencyMs).then(() => log.store.appendRecord(stream, data))
      await own.wait(2 * log.latencyMs)
      const offset = await taken
      if (!log.losesResponses) return ok(offset)
      await own.wait(LOG_TIMEOUT_MS)
      return err(createError('log-unknown', 'no response'))
    },
    async read (stream, from, options = {}) {
      const untilMs = clock.monotonicMs() + (options.waitMs ?? 0)
      await own.wait(log.latencyMs)
      while (!isCut() && log.store.readBounds(stream).next <= from && clock.monotonicMs() < untilMs) await clock.wait(20)
      if (isCut()) await own.wait(LOG_TIMEOUT_MS)
      const page = isCut() ? undefined : log.store.readRecords(stream, from, options.limit)
      await own.wait(log.latencyMs)
      return page ? ok(page) : createUnavailable()
    },
    async readBounds (stream) {
      await own.wait(log.latencyMs)
      return isCut() ? createUnavailable() : ok(log.store.readBounds(stream))
    }
  }
}

/** Sends the requests of one step to an entry that is not paused. */
function sendRequests (clock: TestClock, contract: Contract, entry: SimulatedEntry, handleChange: (change: number) => void): void {
  entry.dueCount += entry.offeredPerSecond * STEP_MS / 1_000
  if (entry.isPaused) entry.dueCount = 0
  for (; entry.dueCount >= 1; entry.dueCount--) {
    entry.offered += 1
    const permit = entry.limiter.acquirePermit(contract)
    if (permit.isErr()) continue
    entry.admitted += 1
    entry.inProgress += 1
    handleChange(1)
    startEndTimer(clock, entry, permit.value, () => handleChange(-1))
  }
}

function startEndTimer (clock: TestClock, entry: SimulatedEntry, permit: RequestPermit, handleEnd: () => void): void {
  clock.startTimer(entry.workMs, () => {
    if (entry.isPaused) return startEndTimer(clock, entry, permit, handleEnd)
    entry.inProgress -= 1
    permit.release()
    handleEnd()
  })
}

/** Creates a simulation without entries. */
export function createLimitsSimulation (contract: Contract, createLimiter: LimiterFactory = createOwnLimiter): LimitsSimulation {
  const clock = createTestClock()
  const store = createLogStore(clock.wallMs)
  const log = { isDown: false, losesResponses: false, latencyMs: DEFAULT_LATENCY_MS, store }
  const entries: SimulatedEntry[] = []
  const gates = new Map<SimulatedEntry, ReturnType<typeof createPauseGate>>()
  const admittedAt: number[] = []
  let largestRate = 0
  let inProgress = 0
  let largestConcurrency = 0

  const handleChange = (change: number): void => {
    inProgress += change
    largestConcurrency = Math.max(largestConcurrency, inProgress)
    if (change < 0) return
    const nowMs = clock.monotonicMs()
    admittedAt.push(nowMs)
    while ((admittedAt[0] ?? nowMs) <= nowMs - 1_000) admittedAt.shift()
    largestRate = Math.max(largestRate, admittedAt.length)
  }
  return {
    entries,
    log,
    addEntry (id, { offeredPerSecond = 0, workMs = 20 } = {}) {
      const number = entries.length
      const gate = createPauseGate()
      const entry = {
        id: toBrand<EntryId>(id),
        offeredPerSecond,
        workMs,
        isPaused: false,
        isPartitioned: false,
        wallSkewMs: 0,
        admitted: 0,
        offered: 0,
        inProgress: 0,
        dueCount: 0
      } as unknown as SimulatedEntry
      const drift = (number % 3 - 1) * 0.0004
      const own = createEntryClock(clock, entry, gate.held, drift)
      const run = toBrand<Incarnation>(`${1_000 + number}`)
      entry.limiter = createLimiter({ clock: own, log: createEntryLog(clock, own, log, entry), entry: entry.id, run })
      gates.set(entry, gate)
      entries.push(entry)
      return entry
    },
    async runFor (ms) {
      for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        for (const entry of entries) sendRequests(clock, contract, entry, handleChange)
        await clock.advance(STEP_MS)
      }
    },
    setPaused (entry, isPaused) {
      entry.isPaused = isPaused
      if (!isPaused) gates.get(entry)?.runAll()
    },
    getMaxRate: () => largestRate,
    getMaxConcurrency: () => largestConcurrency,
    close () {
      for (const entry of entries) entry.limiter.close()
    }
  }
}
