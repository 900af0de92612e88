import { createTestClock } from '../../src/clock.ts'
import type { TestClock } from '../../src/clock.ts'
import type { RunKind } from '../../src/process/quarantine/crash-history.ts'
import type { QuarantineMessage } from '../../src/process/quarantine/quarantine-messages.ts'
import { createRequestQuarantine } from '../../src/process/quarantine/request-quarantine.ts'
import type { RequestQuarantine } from '../../src/process/quarantine/request-quarantine.ts'
import { createCallerConnection } from '../../src/request/caller-connection.ts'
import { createRequestAdmission } from '../../src/request/gateway/request-admission.ts'
import type { RequestFingerprint } from '../../src/request/request-fingerprint.ts'
import { toBrand } from '../../src/types.ts'
import type { EntryId, TargetId } from '../../src/types.ts'
import { createRandom } from '../../replay/random.ts'
import { SILENT_LOGGER } from './silent-logger.ts'

/** A simulated entry. Entries of different sides of a split do not reach each other. */
export interface QuarantineEntry { id: EntryId, quarantine: RequestQuarantine, isStopped: boolean, side: number }

/** A run of a request at a target. */
interface Run { kind: RunKind, end(outcome: 'completed' | 'crashed'): void }

/** A simulated target; after a crash it is back under a new id. */
export interface FragileTarget { id: TargetId, isUp: boolean, runs: Set<Run>, completedCount: number, crashCount: number, runCount: number }

/** What a request does to the target that runs it. */
export interface SimulatedRequest {
  name: string
  isDeadly?: boolean
  isIdempotent?: boolean
  /** When its caller leaves, in ms after the request was sent to a target; the target goes on with it. */
  leavesAfterMs?: number
}

/** How a simulated request ended for its caller. */
export type SimulatedOutcome = 'completed' | 'failed' | 'rejected' | 'left'

/** Options of the fleet. */
export interface QuarantineFleetOptions { size: number, targetCount: number, seed?: number, lossShare?: number }

const RUN_MS = { shortest: 100, longest: 300 }
const DOWN_MS = 3_000
const DEADLINE_MS = 1_500
const MAX_ATTEMPTS = 2
const MAINTENANCE_MS = 100

/** Returns the fingerprint of a simulated request. */
export function toFingerprint (name: string): RequestFingerprint {
  return toBrand<RequestFingerprint>(name)
}

/** Creates entries that share a quarantine over a simulated network, and targets that they use at random. */
export function createQuarantineFleet ({ size, targetCount, seed = 1, lossShare = 0 }: QuarantineFleetOptions) {
  const clock: TestClock = createTestClock()
  const random = createRandom(seed)
  const counts = { messages: 0, crashes: 0 }
  const entries: QuarantineEntry[] = []
  const targets = Array.from({ length: targetCount }, (_, index): FragileTarget => ({ id: toBrand<TargetId>(`i-${index}`), isUp: true, runs: new Set(), completedCount: 1, crashCount: 0, runCount: 0 }))

  const send = (from: QuarantineEntry, to: QuarantineEntry, message: QuarantineMessage): void => {
    counts.messages += 1
    if (to.isStopped || from.side !== to.side || random() < lossShare) return
    const { quarantine } = to
    clock.startTimer(0.5 + random() * 2, () => { if (to.quarantine === quarantine) quarantine.handleMessage(from.id, structuredClone(message)) })
  }
  const startEntry = (entry: QuarantineEntry): void => {
    entry.quarantine = createRequestQuarantine({
      self: entry.id,
      clock,
      random,
      logger: SILENT_LOGGER,
      send: (to, message) => send(entry, entries.find(({ id }) => id === to)!, message),
      broadcast: (message) => { for (const other of entries) if (other !== entry) send(entry, other, message) }
    })
  }
  const updateViews = (): void => {
    for (const viewer of entries) {
      viewer.quarantine.updateEntries(entries.map(({ id, isStopped, side }) => ({ id, state: isStopped || side !== viewer.side ? 'gone' : 'live' })))
    }
  }
  const runMaintenance = (): void => {
    for (const { quarantine, isStopped } of entries) if (!isStopped) quarantine.runMaintenance()
    clock.startTimer(MAINTENANCE_MS, runMaintenance)
  }
  for (let index = 0; index < size; index++) {
    const entry = { id: toBrand<EntryId>(`front-${index}`), isStopped: false, side: 0 } as QuarantineEntry
    startEntry(entry)
    entries.push(entry)
  }
  updateViews()
  runMaintenance()

  const dropTarget = (target: FragileTarget): void => {
    if (!target.isUp) return
    target.isUp = false
    target.crashCount += 1
    counts.crashes += 1
    for (const run of target.runs) run.end('crashed')
    for (const { quarantine, isStopped } of entries) if (!isStopped && quarantine.hasAbandoned(target.id)) quarantine.recordLostTarget(target.id)
    clock.startTimer(DOWN_MS, () => {
      target.isUp = true
      target.completedCount = 0
      target.id = toBrand<TargetId>(`${target.id.split('+')[0]}+${target.crashCount}`)
    })
  }
  const isProven = ({ completedCount, runs }: FragileTarget): boolean => completedCount > 0 && ![...runs].some(({ kind }) => kind !== 'ordinary')
  const selectTarget = (isTrial: boolean, tried: ReadonlySet<FragileTarget>): FragileTarget | undefined => {
    const usable = targets.filter((target) => target.isUp && !tried.has(target))
    const proven = isTrial ? usable.filter(isProven) : []
    const candidates = proven.length > 0 ? proven : usable
    return candidates[Math.floor(random() * candidates.length)]
  }
  const runAt = (target: FragileTarget, kind: RunKind, isDeadly: boolean): Promise<'completed' | 'crashed'> => new Promise((resolve) => {
    const run: Run = {
      kind,
      end (outcome) {
        target.runs.delete(run)
        target.completedCount += Number(outcome === 'completed')
        resolve(outcome)
      }
    }
    target.runs.add(run)
    target.runCount += 1
    const runMs = RUN_MS.shortest + random() * (RUN_MS.longest - RUN_MS.shortest)
    clock.startTimer(runMs, () => {
      if (!target.runs.has(run)) return
      if (isDeadly) dropTarget(target)
      else run.end('completed')
    })
  })
  /** Waits for the end of a run, or until its caller leaves. */
  const waitForOutcome = <T>(running: Promise<T>, leavesAfterMs: number): Promise<T | 'left'> =>
    leavesAfterMs === Infinity ? running : Promise.race([running, clock.wait(leavesAfterMs).then(() => 'left' as const)])
  /** Sends a request through an entry, as a gateway does; resolves with what its caller gets. */
  const sendRequest = async (entry: QuarantineEntry, { name, isDeadly = false, isIdempotent = true, leavesAfterMs = Infinity }: SimulatedRequest): Promise<SimulatedOutcome> => {
    const admission = createRequestAdmission({
      quarantine: entry.quarantine,
      getFingerprint: () => toFingerprint(name),
      deadlineAtMs: clock.monotonicMs() + DEADLINE_MS,
      caller: createCallerConnection(),
      clock
    })
    const tried = new Set<FragileTarget>()
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const admitted = await admission.acquire()
      if (admitted.isErr()) return 'rejected'
      const target = selectTarget(admission.isTrial(), tried)
      if (!target) break
      tried.add(target)
      const kind = !admission.isTrial() ? 'ordinary' : isProven(target) ? 'isolated' : 'trial'
      const { id } = target
      const outcome = await waitForOutcome(runAt(target, kind, isDeadly), leavesAfterMs)
      if (outcome === 'left') {
        if (!entry.isStopped) admission.recordAbandoned(id, kind)
        admission.finish(false)
        return 'left'
      }
      if (outcome === 'completed') {
        admission.finish(true)
        return 'completed'
      }
      if (!entry.isStopped) admission.recordCrash(id, kind)
      if (!isIdempotent) break
    }
    admission.finish(false)
    return 'failed'
  }
  const selectEntry = (): QuarantineEntry => {
    const running = entries.filter(({ isStopped }) => !isStopped)
    return running[Math.floor(random() * running.length)]!
  }
  return {
    clock,
    entries,
    targets,
    counts,
    random,
    dropTarget,
    sendRequest,
    /** Sends requests at random entries, `perSecond` in total, for `lengthMs`; returns their outcomes, without those that have not ended. */
    async runLoad ({ perSecond, lengthMs, createRequest }: { perSecond: number, lengthMs: number, createRequest: (index: number) => SimulatedRequest }) {
      const outcomes: { request: SimulatedRequest, outcome: SimulatedOutcome }[] = []
      const count = Math.round(perSecond * lengthMs / 1_000)
      for (let index = 0; index < count; index++) {
        const request = createRequest(index)
        sendRequest(selectEntry(), request).then((outcome) => outcomes.push({ request, outcome }), (error: unknown) => { throw error })
        await clock.advance(1_000 / perSecond)
      }
      await clock.advance(DEADLINE_MS)
      return outcomes
    },
    /** Stops an entry and starts it anew: it knows nothing, and the others see it come. */
    async restart (entry: QuarantineEntry, downMs: number): Promise<void> {
      entry.isStopped = true
      updateViews()
      await clock.advance(downMs)
      entry.isStopped = false
      startEntry(entry)
      updateViews()
    },
    /** Splits the fleet, or heals it when all have the same side. */
    split (getSide: (index: number) => number): void {
      entries.forEach((entry, index) => { entry.side = getSide(index) })
      updateViews()
    }
  }
}
