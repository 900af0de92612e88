/**
 * Keeps the requests of each customer within its quota over all entries.
 *
 * One entry issues the tokens of a customer; which one follows from the live entries. The others lease tokens from it, as many
 * as their callers are likely to use while the lease lasts, and at least one for each request that waits.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { CustomerId, EntryId } from '../../types.ts'
import type { CustomerTerms, Quota } from '../../version/customer-keys.ts'
import type { PartLogger } from '../logger.ts'
import type { PeerMessaging } from '../peer-messaging.ts'
import { createIssuerView } from '../shared-limits/issuer-view.ts'
import type { IssuerCandidate } from '../shared-limits/issuer-view.ts'
import { createUnusedTokens } from '../shared-limits/unused-tokens.ts'
import { computeTokenDemand, createCustomerDemand, recordArrival } from './customer-demand.ts'
import type { CustomerDemand } from './customer-demand.ts'
import { createIssuerRequests } from './issuer-requests.ts'
import { computeQuotaBudget } from './quota-budget.ts'
import type { QuotaTolerance } from './quota-budget.ts'
import { createQuotaIssuer } from './quota-issuer.ts'
import type { IssuerCounts } from './quota-issuer.ts'
import type { QuotaAnswer, QuotaMessage, QuotaRequest } from './quota-messages.ts'

/** The right to pass on one request of a customer. */
export interface QuotaToken {
  customer: CustomerId
  /** Until when another request may use it if this one does not, by the monotonic clock in ms. */
  expiresAtMs: number
}

/** Totals since the start. */
export interface QuotaCounts extends IssuerCounts {
  /** Customers with a quota that sent requests to this entry lately. */
  customers: number
  /** Requests that got a token, and those that were rejected without one. */
  granted: number
  rejected: number
  /** Requests for tokens that this entry sent to others, and those without an answer in time. */
  asked: number
  unanswered: number
}

/** Keeps requests within the quotas of customers. */
export interface QuotaLimiter {
  /** Acquires a token for one request; at once and without one for a customer without a quota. Errors: `over-quota`. */
  acquire(customer: CustomerTerms): Promise<Result<QuotaToken | undefined, AppError>>
  /** Gives back the token of a request that was passed on to no target. */
  release(token: QuotaToken): void
  /** Handles a message of another entry. */
  handleMessage(from: EntryId, message: QuotaMessage): void
  /** Updates the view of the entries, this one included, and hands over to those that issue for a customer now. */
  updateEntries(entries: readonly IssuerCandidate[]): void
  /** Notices pauses of the process, and forgets what is no longer needed. Call it several times a second. */
  runMaintenance(): void
  report(): QuotaCounts
}

/** Options of `createQuotaLimiter`. */
export interface QuotaLimiterOptions extends PeerMessaging<QuotaMessage> {
  logger: Pick<PartLogger, 'info' | 'warn'>
  tolerance: QuotaTolerance
  /** Whether no other entry has been heard lately, although others are known. */
  isIsolated(): boolean
}

/** Time that views of the live entries take to agree after a change, in ms; longer than for targets' limits, since a token counts for a window of seconds. */
const SETTLE_MS = 1_500
/** After a longer pause of the process, other entries may have issued in its place, in ms. */
const MAX_PAUSE_MS = 1_000
/** Messages that waited during a pause are read within this time after it, in ms. */
const BACKLOG_MS = 300
/** Time after which tokens are asked for again when no issuer responded, in ms. */
const NO_ISSUER_WAIT_MS = 300
/** Rejected callers come back within this time after a token is available, in ms, so that they do not all come at once. */
const RETRY_SPREAD_MS = 1_000
/** Customers that sent nothing for this time are forgotten, in ms. */
const IDLE_MS = 60_000
/** Time between two removals of idle customers, in ms. */
const CLEANUP_INTERVAL_MS = 10_000
/** Time between two log lines of one customer's rejections, in ms. */
const MIN_LOG_INTERVAL_MS = 5_000
const MS_PER_SECOND = 1_000

/** Creates a limiter that knows no other entries. */
export function createQuotaLimiter (options: QuotaLimiterOptions): QuotaLimiter {
  const { self, clock, random, logger, tolerance } = options
  const issuers = createIssuerView<CustomerId>({ self, clock, settleMs: SETTLE_MS })
  const unused = createUnusedTokens<CustomerId>(clock)
  const demands = new Map<CustomerId, CustomerDemand>()
  const counts = { granted: 0, rejected: 0 }
  let lastRunAtMs = clock.monotonicMs()
  let backlogUntilMs = -Infinity
  let cleanupAtMs = 0

  const issuer = createQuotaIssuer({ ...options, issuers })
  const requests = createIssuerRequests({ ...options, issuers, answer: issuer.answer })

  /** Starts anew after a pause in which other entries may have taken this one for lost. */
  const checkPause = (): void => {
    const nowMs = clock.monotonicMs()
    const pauseMs = nowMs - lastRunAtMs
    lastRunAtMs = nowMs
    if (pauseMs <= MAX_PAUSE_MS) return
    issuers.reset()
    issuer.reset()
    backlogUntilMs = nowMs + BACKLOG_MS
    logger.warn('Was paused; issues quotas again when the views of all entries agree.', { pauseMs: Math.round(pauseMs), settleMs: SETTLE_MS })
  }
  const sendHandovers = (): void => {
    for (const { to, handover } of issuer.takeHandovers()) options.send(to, { type: 'quota-handover', handover })
  }
  const getDemand = (customer: CustomerId): CustomerDemand => {
    const known = demands.get(customer) ?? createCustomerDemand()
    demands.set(customer, known)
    return known
  }
  const applyAnswer = (request: QuotaRequest, answer: QuotaAnswer | undefined, askedAtMs: number): void => {
    const demand = getDemand(request.customer)
    if (answer?.kind === 'granted') {
      unused.add(request.customer, answer.count, askedAtMs + answer.leaseMs)
      demand.deniedUntilMs = 0
      return
    }
    const waitMs = answer?.kind === 'denied' ? answer.waitMs : NO_ISSUER_WAIT_MS
    demand.deniedUntilMs = clock.monotonicMs() + waitMs * (1 + random())
  }
  const requestTokens = async (customer: CustomerId, quota: Quota, demand: CustomerDemand): Promise<void> => {
    const { leaseMs } = computeQuotaBudget(quota, tolerance).primary
    const request = { customer, quota, demand: computeTokenDemand(demand, leaseMs), isFallback: false }
    try {
      const { answer, askedAtMs } = await requests.request(request, applyAnswer)
      applyAnswer(request, answer, askedAtMs)
    } finally {
      demand.asking = undefined
    }
  }
  /** Waits for a token; returns until when it is valid, or undefined when none is available. */
  const waitForToken = async (customer: CustomerId, quota: Quota, demand: CustomerDemand): Promise<number | undefined> => {
    demand.waitingCount += 1
    try {
      for (;;) {
        const expiresAtMs = unused.tryTake(customer)
        if (expiresAtMs !== undefined) return expiresAtMs
        if (demand.deniedUntilMs > clock.monotonicMs()) return undefined
        demand.asking ??= requestTokens(customer, quota, demand)
        await demand.asking
      }
    } finally {
      demand.waitingCount -= 1
    }
  }
  const writeRejection = (customer: CustomerId, quota: Quota, demand: CustomerDemand): void => {
    demand.rejectedCount += 1
    const nowMs = clock.monotonicMs()
    if (nowMs - demand.writtenAtMs < MIN_LOG_INTERVAL_MS) return
    logger.info('Rejecting requests of a customer for its quota.', { customer, ...quota, perSecondHere: Math.round(demand.perSecond), rejected: demand.rejectedCount, issuer: issuers.getIssuer(customer), share: issuers.getLiveShare() })
    demand.rejectedCount = 0
    demand.writtenAtMs = nowMs
  }
  const reject = (customer: CustomerId, quota: Quota, demand: CustomerDemand): AppError => {
    counts.rejected += 1
    writeRejection(customer, quota, demand)
    const waitMs = Math.max(0, demand.deniedUntilMs - clock.monotonicMs()) + random() * RETRY_SPREAD_MS
    const error = createError('over-quota', `The customer may send ${quota.ratePerSecond} requests per second, and ${quota.burst} at once.`)
    return { ...error, retryAfterS: Math.ceil(waitMs) / MS_PER_SECOND }
  }
  return {
    async acquire ({ name, quota }) {
      if (!quota) return ok(undefined)
      checkPause()
      const demand = getDemand(name)
      recordArrival(demand, clock.monotonicMs())
      const expiresAtMs = await waitForToken(name, quota, demand)
      if (expiresAtMs === undefined) return err(reject(name, quota, demand))
      counts.granted += 1
      return ok({ customer: name, expiresAtMs })
    },
    release ({ customer, expiresAtMs }) {
      unused.add(customer, 1, expiresAtMs)
    },
    handleMessage (from, message) {
      checkPause()
      requests.recordMessage(from)
      switch (message.type) {
        case 'quota-request':
          options.send(from, { type: 'quota-response', sequence: message.sequence, answer: issuer.answer(message.request) })
          return
        case 'quota-response':
          requests.settle(message.sequence, message.answer)
          return
        case 'quota-handover':
          if (clock.monotonicMs() >= backlogUntilMs) issuer.applyHandover(message.handover)
      }
    },
    updateEntries (entries) {
      checkPause()
      if (issuers.update(entries)) sendHandovers()
    },
    runMaintenance () {
      checkPause()
      issuers.setIsolated(options.isIsolated())
      sendHandovers()
      const nowMs = clock.monotonicMs()
      if (nowMs < cleanupAtMs) return
      cleanupAtMs = nowMs + CLEANUP_INTERVAL_MS
      for (const [customer, { arrivedAtMs, waitingCount }] of demands) if (waitingCount === 0 && nowMs - arrivedAtMs > IDLE_MS) demands.delete(customer)
      issuer.removeIdle()
      unused.removeUnregistered((customer) => demands.has(customer))
      issuers.removeUnregistered((customer) => demands.has(customer) || issuer.has(customer))
    },
    report: () => ({ ...counts, ...issuer.report(), ...requests.report(), customers: demands.size })
  }
}
