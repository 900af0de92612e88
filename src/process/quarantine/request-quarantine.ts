/**
 * Keeps a request that crashes the targets that run it from ending one after the other, over all entries.
 *
 * Entries tell each other which requests were running when a target crashed. Such a request is suspected, and runs in
 * trials only, one at a time over all entries, until it completes; a crash of its trial puts it in quarantine, where it is
 * rejected. One entry grants the trials of a request; which one follows from the live entries.
 */
import { sortByRendezvous } from '../../request/balancing/rendezvous.ts'
import type { RequestFingerprint } from '../../request/request-fingerprint.ts'
import type { EntryId, TargetId } from '../../types.ts'
import type { MemberView } from '../gossip/gossip-membership.ts'
import type { PartLogger } from '../logger.ts'
import type { PeerMessaging } from '../peer-messaging.ts'
import { createPendingResponses } from '../pending-responses.ts'
import { createAbandonedRuns } from './abandoned-runs.ts'
import { createCrashHistory } from './crash-history.ts'
import type { CrashedRun, Suspicion, TargetCrash } from './crash-history.ts'
import type { QuarantineMessage, SharedCrash } from './quarantine-messages.ts'
import { createTrialLeases } from './trial-leases.ts'

/** Whether a request may run. */
export type Admission =
  | { kind: 'ordinary' }
  /** It may run once, as the only trial of this request over all entries. `release` ends the trial; call it once it has ended. */
  | { kind: 'trial', release(): void }
  /** It must not run for `waitMs`. */
  | { kind: 'quarantined', crashCount: number, waitMs: number }
  /** Another trial of the same request has not ended in time. */
  | { kind: 'trial-elsewhere' }

/** Options of `RequestQuarantine.acquire`. */
export interface AdmissionOptions {
  /** The latest start of a trial, by the monotonic clock in ms. */
  startByMs: number
  /** How long a trial may take, in ms. */
  trialMs: number
  /** Whether nobody waits for the request any more. */
  isCancelled(): boolean
}

/** Totals since the start, and the requests that are suspected or in quarantine at present. */
export interface QuarantineCounts {
  suspected: number
  quarantined: number
  /** Trials of this entry. */
  trials: number
  /** Trials that began without a lease, since the entry that grants it did not respond. */
  unleasedTrials: number
  /** Requests that this entry rejected. */
  rejected: number
}

/** What the quarantine needs of an entry. */
export type QuarantinePeer = Pick<MemberView, 'id' | 'state'>

/** The quarantine of requests. */
export interface RequestQuarantine {
  /** Whether every request is free of suspicion, so that fingerprints need not be computed. */
  isIdle(): boolean
  /** Whether a request is suspected or in quarantine. */
  isSuspected(request: RequestFingerprint): boolean
  /** Decides whether a request may run; waits for the trial of another entry to end. */
  acquire(request: RequestFingerprint, options: AdmissionOptions): Promise<Admission>
  /** Records that a target has crashed while it ran a request of this entry. */
  recordCrash(target: TargetId, run: CrashedRun): void
  /** Records a run that this entry has cancelled, and with which its target may go on until `untilMs` of the monotonic clock. */
  recordAbandoned(target: TargetId, run: CrashedRun, untilMs: number): void
  /** Whether a target may go on with a run that this entry has cancelled. */
  hasAbandoned(target: TargetId): boolean
  /** Records that a target has crashed while it may have gone on with runs that this entry had cancelled. */
  recordLostTarget(target: TargetId): void
  /** Records that a request has completed. */
  recordCompletion(request: RequestFingerprint): void
  /** Handles a message of another entry. */
  handleMessage(from: EntryId, message: QuarantineMessage): void
  /** Updates the view of the entries, this one included, and tells those that have appeared what counts against requests. */
  updateEntries(entries: readonly QuarantinePeer[]): void
  /** Forgets what is old, and repeats to one other entry what it may have missed. Call it several times a second. */
  runMaintenance(): void
  report(): QuarantineCounts
}

/** Options of `createRequestQuarantine`. */
export interface RequestQuarantineOptions extends PeerMessaging<QuarantineMessage> {
  logger: Pick<PartLogger, 'info' | 'warn'>
}

/** The entry that grants trials counts as unreachable without a response within this time, in ms. */
const RESPONSE_TIMEOUT_MS = 30
const MAX_LEASE_REQUESTS = 2
/** Time after which a request asks again whether the other trial has ended, in ms. */
const TRIAL_RETRY_MS = 20
/** Time between two repetitions of crashes to a random entry, in ms. */
const REPEAT_INTERVAL_MS = 1_000
/** With more, a message would take several datagrams. */
const CRASHES_PER_MESSAGE = 6
/**
 * An entry that finds more targets than this crashed within this time, in ms, has lost its network to them, or they have a
 * common cause: it reports no more.
 */
const OWN_CRASH_WINDOW_MS = 1_000
const MAX_OWN_CRASHES = 3

/** Creates a quarantine that knows no crashes and no other entries. */
export function createRequestQuarantine (options: RequestQuarantineOptions): RequestQuarantine {
  const { self, clock, random, logger } = options
  const history = createCrashHistory(clock)
  const leases = createTrialLeases(clock)
  const abandoned = createAbandonedRuns(clock)
  const pending = createPendingResponses<boolean>({ clock, random, timeoutMs: RESPONSE_TIMEOUT_MS })
  const counts = { trials: 0, unleasedTrials: 0, rejected: 0 }
  /** The latest crash that this entry has found at each target, by the monotonic clock in ms. */
  const ownCrashes = new Map<TargetId, number>()
  let live: EntryId[] = [self]
  let repeatedAtMs = clock.monotonicMs()

  const getGranter = (request: RequestFingerprint): EntryId => sortByRendezvous(request, live)[0] ?? self
  const toShared = ({ target, atMs, runs }: TargetCrash): SharedCrash => ({ target, agoMs: Math.max(0, clock.monotonicMs() - atMs), runs })
  const writeConclusion = (request: RequestFingerprint, before: Suspicion): void => {
    const after = history.getSuspicion(request)
    if (after.kind !== 'quarantined' || before.kind === 'quarantined') return
    const targets = history.listCrashes(request).map(({ target }) => target)
    logger.warn('A request is in quarantine: the targets that ran it crashed.', { request, crashCount: after.crashCount, targets, forMs: Math.round(after.untilMs - clock.monotonicMs()) })
  }
  const applyCrash = (crash: TargetCrash): void => {
    const before = crash.runs.map(({ request }) => ({ request, suspicion: history.getSuspicion(request) }))
    if (!history.add(crash)) return
    for (const { request, suspicion } of before) writeConclusion(request, suspicion)
  }
  const applyShared = ({ target, agoMs, runs }: SharedCrash): void => applyCrash({ target, atMs: clock.monotonicMs() - agoMs, runs })

  const sendCrashes = (to: EntryId, crashes: readonly TargetCrash[]): void => {
    for (let at = 0; at < crashes.length; at += CRASHES_PER_MESSAGE) {
      options.send(to, { type: 'target-crashes', crashes: crashes.slice(at, at + CRASHES_PER_MESSAGE).map(toShared) })
    }
  }
  const requestLease = async (granter: EntryId, request: RequestFingerprint, forMs: number): Promise<boolean> => {
    for (let attempt = 0; attempt < MAX_LEASE_REQUESTS; attempt++) {
      const isGranted = await pending.request((sequence) => options.send(granter, { type: 'trial-request', sequence, request, forMs }))
      if (isGranted !== undefined) return isGranted
    }
    // A request that may be innocent is not held up by the failure of another entry.
    counts.unleasedTrials += 1
    return true
  }
  const acquireTrial = async (request: RequestFingerprint, forMs: number): Promise<(() => void) | undefined> => {
    const granter = getGranter(request)
    const isGranted = granter === self ? leases.tryGrant(request, self, forMs) : await requestLease(granter, request, forMs)
    if (!isGranted) return undefined
    return () => {
      if (granter === self) leases.release(request, self)
      else options.send(granter, { type: 'trial-end', request })
    }
  }
  const reject = (crashCount: number, untilMs: number): Admission => {
    counts.rejected += 1
    return { kind: 'quarantined', crashCount, waitMs: untilMs - clock.monotonicMs() }
  }
  /** Starts a trial; undefined when another one runs, or when the suspicion has changed meanwhile. */
  const tryStartTrial = async (request: RequestFingerprint, forMs: number): Promise<Admission | undefined> => {
    const release = await acquireTrial(request, forMs)
    if (!release) return undefined
    if (history.getSuspicion(request).kind !== 'suspected') {
      release()
      return undefined
    }
    counts.trials += 1
    return { kind: 'trial', release }
  }
  const acquire = async (request: RequestFingerprint, { startByMs, trialMs, isCancelled }: AdmissionOptions): Promise<Admission> => {
    for (;;) {
      const suspicion = history.getSuspicion(request)
      if (suspicion.kind === 'none') return { kind: 'ordinary' }
      if (suspicion.kind === 'quarantined') return reject(suspicion.crashCount, suspicion.untilMs)
      const trial = await tryStartTrial(request, trialMs)
      if (trial) return trial
      if (history.getSuspicion(request).kind !== 'suspected') continue
      if (isCancelled() || clock.monotonicMs() + TRIAL_RETRY_MS > startByMs) return { kind: 'trial-elsewhere' }
      await clock.wait(TRIAL_RETRY_MS)
    }
  }
  /** Whether this entry has found more targets crashed than requests are likely to have ended. */
  const hasManyOwnCrashes = (target: TargetId): boolean => {
    const nowMs = clock.monotonicMs()
    ownCrashes.set(target, nowMs)
    for (const [known, atMs] of ownCrashes) if (nowMs - atMs > OWN_CRASH_WINDOW_MS) ownCrashes.delete(known)
    return ownCrashes.size > MAX_OWN_CRASHES
  }
  const handleTrialRequest = (from: EntryId, { sequence, request, forMs }: QuarantineMessage & { type: 'trial-request' }): void => {
    const isQuarantined = history.getSuspicion(request).kind === 'quarantined'
    if (isQuarantined) sendCrashes(from, history.listCrashes(request))
    options.send(from, { type: 'trial-response', sequence, isGranted: !isQuarantined && leases.tryGrant(request, from, forMs) })
  }
  const recordCompleted = (request: RequestFingerprint, atMs: number): boolean => {
    const before = history.getSuspicion(request)
    const isCleared = history.clear(request, atMs)
    if (isCleared && before.kind !== 'none') logger.info('A suspected request has completed; it is free of suspicion.', { request, crashCount: before.crashCount })
    return isCleared
  }
  /** Records a crash of a target with the runs of this entry there, and tells the other entries. */
  const recordOwnCrash = (target: TargetId, runs: CrashedRun[]): void => {
    if (hasManyOwnCrashes(target)) {
      logger.warn('Many targets crashed at once, or this entry cannot reach them; no request is suspected for it.', { target, crashCount: ownCrashes.size })
      return
    }
    const crash: TargetCrash = { target, atMs: clock.monotonicMs(), runs }
    for (const { request, kind } of runs) logger.info('A request was running at a target that crashed.', { target, request, run: kind })
    applyCrash(crash)
    const message: QuarantineMessage = { type: 'target-crashes', crashes: [toShared(crash)] }
    const granters = new Set(runs.map(({ request }) => getGranter(request)))
    for (const granter of granters) if (granter !== self) options.send(granter, message)
    options.broadcast(message)
  }
  return {
    isIdle: history.isEmpty,
    isSuspected: (request) => history.getSuspicion(request).kind !== 'none',
    acquire,
    recordCrash (target, run) {
      recordOwnCrash(target, [run, ...abandoned.take(target)])
    },
    recordAbandoned (target, run, untilMs) {
      abandoned.add(target, run, untilMs)
      if (run.kind === 'ordinary' || !history.recordUnfinishedTrial(run.request, clock.monotonicMs())) return
      options.broadcast({ type: 'trial-unfinished', request: run.request, agoMs: 0 })
    },
    hasAbandoned: abandoned.has,
    recordLostTarget (target) {
      const runs = abandoned.take(target)
      if (runs.length > 0) recordOwnCrash(target, runs)
    },
    recordCompletion (request) {
      if (recordCompleted(request, clock.monotonicMs())) options.broadcast({ type: 'request-completed', request, agoMs: 0 })
    },
    handleMessage (from, message) {
      switch (message.type) {
        case 'target-crashes': return message.crashes.forEach(applyShared)
        case 'request-completed':
          recordCompleted(message.request, clock.monotonicMs() - message.agoMs)
          return
        case 'trial-unfinished':
          history.recordUnfinishedTrial(message.request, clock.monotonicMs() - message.agoMs)
          return
        case 'trial-request': return handleTrialRequest(from, message)
        case 'trial-response':
          pending.settle(message.sequence, message.isGranted)
          return
        case 'trial-end': return leases.release(message.request, from)
      }
    },
    updateEntries (entries) {
      const before = live
      live = entries.filter(({ state }) => state === 'live').map(({ id }) => id)
      const appeared = live.filter((id) => id !== self && !before.includes(id))
      if (appeared.length === 0 || history.isEmpty()) return
      const own = history.list().filter(({ target }) => sortByRendezvous(target, before)[0] === self)
      for (const id of appeared) sendCrashes(id, own)
    },
    runMaintenance () {
      const nowMs = clock.monotonicMs()
      if (nowMs - repeatedAtMs < REPEAT_INTERVAL_MS) return
      repeatedAtMs = nowMs
      history.removeExpired()
      abandoned.removeExpired()
      const others = live.filter((id) => id !== self)
      const to = others[Math.floor(random() * others.length)]
      if (to !== undefined) sendCrashes(to, history.takeNext(CRASHES_PER_MESSAGE))
    },
    report: () => ({ ...counts, ...history.count() })
  }
}
