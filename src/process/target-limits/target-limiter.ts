/**
 * Keeps the requests of all entries to a target within the rate limit that the target advertises, and within what it bears
 * while it is cold; the lower of the two is in effect.
 *
 * One entry issues the permits of a target; which one follows from the live entries. Any entry that wants to send a request
 * to the target requests a permit there. A permit that was not used stays valid for a short time.
 */
import type { AdvertisedLimit } from '../../request/selection/advertised-limit.ts'
import type { EntryId, TargetId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'
import type { PeerMessaging } from '../peer-messaging.ts'
import { createPendingResponses } from '../pending-responses.ts'
import { createIssuerView } from '../shared-limits/issuer-view.ts'
import type { IssuerCandidate } from '../shared-limits/issuer-view.ts'
import { createUnusedTokens } from '../shared-limits/unused-tokens.ts'
import { createColdTargets } from './cold-targets.ts'
import type { ColdObservation } from './cold-targets.ts'
import type { LimitMessage, SharedCold, SharedLimit } from './limit-messages.ts'
import { createAdvertisedLimits } from './advertised-limits.ts'
import type { LimitObservation } from './advertised-limits.ts'
import { createPermitIssuer } from './permit-issuer.ts'
import type { PermitAnswer } from './permit-issuer.ts'

/** Totals since the start, and the targets that advertise a limit at present. */
export interface LimiterCounts {
  limitedTargets: number
  /** Targets that are cold. */
  coldTargets: number
  /** Permits that this entry received, and requests for one that were denied or not answered in time. */
  granted: number
  denied: number
  unanswered: number
  /** Permits that this entry issued to any entry. */
  issued: number
}

/** Keeps requests within the limits of targets. */
export interface TargetLimiter {
  /** Records what a response said whose request was sent at `sentAtMs` by the monotonic clock. */
  record(target: TargetId, limit: AdvertisedLimit, sentAtMs: number): void
  /** Records that a response, whose request was sent at `sentAtMs`, said that its target stays cold for `leftMs`; 0 when it is not. */
  recordCold(target: TargetId, leftMs: number, sentAtMs: number): void
  /** Records that the record of a target, of unknown age, said that it stays cold for `leftMs`. */
  recordColdReport(target: TargetId, leftMs: number): void
  /** Whether a target is cold and bears few requests for that. */
  isCold(target: TargetId): boolean
  /** Whether any target may be cold; in constant time. */
  hasCold(): boolean
  /** Returns the limit of a target in requests per second over all entries; undefined without one. */
  getPerSecond(target: TargetId): number | undefined
  /** Returns the earliest instant at which a permit may be available, by the monotonic clock in ms; `-Infinity` if one may be available now. */
  getAvailableAtMs(target: TargetId): number
  /** Whether it is worthwhile to request a permit now. */
  isAvailable(target: TargetId): boolean
  /** Acquires a permit for one request; true at once for a target without a limit. */
  acquire(target: TargetId): Promise<boolean>
  /** Gives back a permit whose request was not sent. */
  release(target: TargetId): void
  /** Handles a message of another entry. */
  handleMessage(from: EntryId, message: LimitMessage): void
  /** Updates the view of the entries, this one included, and tells those that have appeared the limits for which this entry issues permits. */
  updateEntries(entries: readonly IssuerCandidate[]): void
  /** Forgets targets that are no longer registered. */
  removeUnregistered(isRegistered: (target: TargetId) => boolean): void
  report(): LimiterCounts
}

/** Options of `createTargetLimiter`. */
export interface TargetLimiterOptions extends PeerMessaging<LimitMessage> {
  logger: Pick<PartLogger, 'info' | 'warn'>
  /** Returns how many requests per second a target bears while it is cold; undefined when that needs no protection. */
  getColdPerSecond?(target: TargetId): number | undefined
}

/** A request for a permit counts as denied without a response within this time, in ms. */
const RESPONSE_TIMEOUT_MS = 30
/** Time after which a permit is requested again from an entry that did not respond or does not issue it, in ms. */
const NO_ISSUER_RETRY_MS = 100
/** That a target has turned cold is told again after these times, in ms, since messages may be lost. */
const REPEATS_MS = [40, 80, 120]
/** The record of a target may be as old as this, in ms: longer than any target stays cold. */
const MAX_RECORD_AGE_MS = 86_400_000
/** Time that views of the live entries take to agree after a change, in ms. */
const SETTLE_MS = 1_000
/** A permit that was not used is valid for this time, in ms; longer, and the permits of many entries could be used at once. */
const PERMIT_LIFETIME_MS = 500

/** When a permit may be available, and when this entry requests one again; later, so that the entries do not all ask at once. */
interface Denial { availableAtMs: number, retryAtMs: number }

/** Creates a limiter that knows no limits and no other entries. */
export function createTargetLimiter (options: TargetLimiterOptions): TargetLimiter {
  const { self, clock, random, logger } = options
  const limits = createAdvertisedLimits({ clock, logger })
  const cold = createColdTargets({ clock, logger })
  const issuers = createIssuerView<TargetId>({ self, clock, settleMs: SETTLE_MS })
  const issuer = createPermitIssuer({ clock, getStartMs: () => issuers.getSettledAtMs() })
  const unused = createUnusedTokens<TargetId>(clock)
  const pending = createPendingResponses<PermitAnswer>({ clock, random, timeoutMs: RESPONSE_TIMEOUT_MS })
  const denials = new Map<TargetId, Denial>()
  const counts = { granted: 0, denied: 0, unanswered: 0, issued: 0 }

  const toShared = ({ perSecond, sentAtMs, receivedAtMs }: LimitObservation): SharedLimit => {
    const nowMs = clock.monotonicMs()
    return { perSecond, sentAgoMs: nowMs - sentAtMs, receivedAgoMs: nowMs - receivedAtMs }
  }
  const toSharedCold = ({ endsAtMs, sentAtMs, receivedAtMs }: ColdObservation): SharedCold => {
    const nowMs = clock.monotonicMs()
    return { leftMs: Math.max(0, endsAtMs - nowMs), warmForMs: Math.max(0, nowMs - endsAtMs), sentAgoMs: nowMs - sentAtMs, receivedAgoMs: nowMs - receivedAtMs }
  }
  const describeLimit = (target: TargetId): SharedLimit => {
    const observation = cold.get(target)
    const limit = toShared(limits.get(target) ?? { perSecond: undefined, sentAtMs: 0, receivedAtMs: 0 })
    return observation ? { ...limit, cold: toSharedCold(observation) } : limit
  }
  const applyShared = (target: TargetId, limit: SharedLimit): void => {
    const nowMs = clock.monotonicMs()
    const { perSecond, sentAgoMs, receivedAgoMs, cold: shared } = limit
    limits.apply(target, { perSecond, sentAtMs: nowMs - sentAgoMs, receivedAtMs: nowMs - receivedAgoMs })
    if (shared) cold.apply(target, { endsAtMs: nowMs + shared.leftMs - shared.warmForMs, sentAtMs: nowMs - shared.sentAgoMs, receivedAtMs: nowMs - shared.receivedAgoMs })
  }
  const getColdPerSecond = (target: TargetId): number | undefined => {
    const factor = cold.getRateFactor(target)
    const perSecond = factor === undefined ? undefined : options.getColdPerSecond?.(target)
    return factor === undefined || perSecond === undefined ? undefined : perSecond * factor
  }
  /** Returns the lower of the advertised limit and the rate that a cold target bears; undefined without either. */
  const getPerSecond = (target: TargetId): number | undefined => {
    const rates = [limits.getPerSecond(target), getColdPerSecond(target)].filter((rate) => rate !== undefined)
    return rates.length === 0 ? undefined : Math.min(...rates)
  }
  const publishLimit = (target: TargetId): void => options.broadcast({ type: 'target-limit', target, limit: describeLimit(target) })
  const recordDenial = (target: TargetId, waitMs: number): void => {
    const nowMs = clock.monotonicMs()
    denials.set(target, { availableAtMs: nowMs + waitMs, retryAtMs: nowMs + waitMs * (1 + random()) })
  }
  /** Answers a request for a permit of a target for which this entry issues them. */
  const issuePermit = (target: TargetId): PermitAnswer => {
    const perSecond = getPerSecond(target)
    if (perSecond === undefined) return { isGranted: true, waitMs: 0 }
    const answer = issuer.issue(target, perSecond * issuers.getLiveShare())
    counts.issued += Number(answer.isGranted)
    return answer
  }
  const handleAnswer = (target: TargetId, answer: PermitAnswer): boolean => {
    counts.granted += Number(answer.isGranted)
    counts.denied += Number(!answer.isGranted)
    if (answer.isGranted) denials.delete(target)
    else recordDenial(target, answer.waitMs)
    return answer.isGranted
  }
  const keepUnused = (target: TargetId): void => unused.add(target, 1, clock.monotonicMs() + PERMIT_LIFETIME_MS)
  const requestPermit = async (to: EntryId, target: TargetId): Promise<boolean> => {
    const answer = await pending.request((sequence) => options.send(to, { type: 'permit-request', sequence, target, limit: describeLimit(target) }))
    if (answer) return handleAnswer(target, answer)
    counts.unanswered += 1
    recordDenial(target, NO_ISSUER_RETRY_MS)
    return false
  }
  const handleRequest = (from: EntryId, { sequence, target, limit }: LimitMessage & { type: 'permit-request' }): void => {
    applyShared(target, limit)
    const isIssuer = issuers.getIssuer(target) === self
    const answer = isIssuer ? issuePermit(target) : { isGranted: false, waitMs: NO_ISSUER_RETRY_MS }
    options.send(from, { type: 'permit-response', sequence, target, answer, limit: describeLimit(target) })
  }
  const handleResponse = ({ sequence, target, answer, limit }: LimitMessage & { type: 'permit-response' }): void => {
    applyShared(target, limit)
    if (pending.settle(sequence, answer)) return
    // The response came after the timeout: the permit serves the next request.
    if (answer.isGranted && handleAnswer(target, answer)) keepUnused(target)
  }
  return {
    record (target, limit, sentAtMs) {
      const change = limits.record(target, limit, sentAtMs)
      if (change === 'begun' || change === 'ended') publishLimit(target)
    },
    recordCold (target, leftMs, sentAtMs) {
      const receivedAtMs = clock.monotonicMs()
      if (!cold.apply(target, { endsAtMs: receivedAtMs + leftMs, sentAtMs, receivedAtMs })) return
      if (getColdPerSecond(target) === undefined) return
      publishLimit(target)
      for (const repeatMs of REPEATS_MS) clock.startTimer(repeatMs, () => publishLimit(target))
    },
    recordColdReport (target, leftMs) {
      const receivedAtMs = clock.monotonicMs()
      cold.apply(target, { endsAtMs: receivedAtMs + leftMs, sentAtMs: receivedAtMs - MAX_RECORD_AGE_MS, receivedAtMs })
    },
    isCold: (target) => cold.isCold(target) && options.getColdPerSecond?.(target) !== undefined,
    hasCold: () => cold.hasCold(),
    getPerSecond,
    getAvailableAtMs: (target) => getPerSecond(target) === undefined ? -Infinity : denials.get(target)?.availableAtMs ?? -Infinity,
    isAvailable (target) {
      const denial = denials.get(target)
      return denial === undefined || denial.retryAtMs <= clock.monotonicMs() || getPerSecond(target) === undefined
    },
    async acquire (target) {
      if (getPerSecond(target) === undefined || unused.tryTake(target) !== undefined) return true
      const to = issuers.getIssuer(target)
      return to === self ? handleAnswer(target, issuePermit(target)) : requestPermit(to, target)
    },
    release (target) {
      if (getPerSecond(target) === undefined) return
      keepUnused(target)
      denials.delete(target)
    },
    handleMessage (from, message) {
      switch (message.type) {
        case 'permit-request': return handleRequest(from, message)
        case 'permit-response': return handleResponse(message)
        case 'target-limit': return applyShared(message.target, message.limit)
      }
    },
    updateEntries (entries) {
      const issuedHere = [...new Set([...limits.listLimited(), ...cold.listLimited()])].filter((target) => issuers.getIssuer(target) === self)
      const appeared = issuers.update(entries)
      if (!appeared) return
      issuer.removeOthers((target) => issuers.getIssuer(target) === self)
      for (const id of appeared) if (id !== self) for (const target of issuedHere) options.send(id, { type: 'target-limit', target, limit: describeLimit(target) })
    },
    removeUnregistered (isRegistered) {
      limits.removeUnregistered(isRegistered)
      cold.removeUnregistered(isRegistered)
      unused.removeUnregistered(isRegistered)
      issuers.removeUnregistered(isRegistered)
      issuer.removeOthers(isRegistered)
      for (const target of denials.keys()) if (!isRegistered(target)) denials.delete(target)
    },
    report: () => ({ ...counts, limitedTargets: limits.listLimited().length, coldTargets: cold.countCold() })
  }
}
