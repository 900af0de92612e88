/**
 * Issues the tokens of customers: as the issuer of a customer, or from a small reserve while there is none that may issue.
 *
 * A new issuer does not know what an earlier one has issued. It starts without tokens, and not before the views of all entries
 * agree, unless the earlier one hands its tokens over.
 */
import type { Clock } from '../../clock.ts'
import type { CustomerId, EntryId } from '../../types.ts'
import type { Quota } from '../../version/customer-keys.ts'
import type { IssuerView } from '../shared-limits/issuer-view.ts'
import { acquireLease, addLease, computeTokenWaitMs, countLeased, createLeaseBucket } from './lease-bucket.ts'
import type { LeaseBucket, LeaseBucketLimits, TokenDemand } from './lease-bucket.ts'
import { computeQuotaBudget, computeShare } from './quota-budget.ts'
import type { QuotaTolerance } from './quota-budget.ts'
import type { QuotaAnswer, QuotaHandover, QuotaRequest } from './quota-messages.ts'

/** Issues tokens. */
export interface QuotaIssuer {
  /** Answers a request for tokens of this or of another entry. */
  answer(request: QuotaRequest): QuotaAnswer
  /** Takes over what an earlier issuer has left. */
  applyHandover(handover: QuotaHandover): void
  /** Ends issuing for customers that another entry issues for now; returns what is to be handed over, by that entry. */
  takeHandovers(): { to: EntryId, handover: QuotaHandover }[]
  /** Forgets what it may issue, since other entries may have issued meanwhile. */
  reset(): void
  /** Forgets customers that nobody has asked for lately. */
  removeIdle(): void
  /** Whether somebody has asked for a customer lately. */
  has(customer: CustomerId): boolean
  report(): IssuerCounts
}

/** Totals since the start. */
export interface IssuerCounts {
  /** Tokens issued to any entry, and those of them from the reserve. */
  issued: number
  fromReserve: number
}

/** Options of `createQuotaIssuer`. */
export interface QuotaIssuerOptions {
  self: EntryId
  clock: Clock
  random: () => number
  issuers: IssuerView<CustomerId>
  tolerance: QuotaTolerance
}

/** Buckets of a customer that has not asked for this time are full again, and forgotten, in ms. */
const IDLE_MS = 60_000

/** The buckets of one customer; `primary` only while this entry is its issuer. */
interface CustomerBuckets {
  primary: LeaseBucket | undefined
  reserve: LeaseBucket
  usedAtMs: number
  /** The latest handover that was applied. */
  handoverId: number | undefined
  /** Until then this entry issues because the former issuer has said so, whatever its own view. */
  appointedUntilMs: number
}

/** Views of the live entries agree with a handover within this time, in ms. */
const APPOINTED_MS = 2_000
const MAX_HANDOVER_ID = 0x7fff_ffff

/** Creates an issuer without buckets. */
export function createQuotaIssuer (options: QuotaIssuerOptions): QuotaIssuer {
  const { self, clock, random, issuers, tolerance } = options
  const startedAtMs = clock.monotonicMs()
  const customers = new Map<CustomerId, CustomerBuckets>()
  const counts: IssuerCounts = { issued: 0, fromReserve: 0 }

  const getBuckets = (customer: CustomerId): CustomerBuckets => {
    const nowMs = clock.monotonicMs()
    const known = customers.get(customer) ?? { primary: undefined, reserve: createLeaseBucket(startedAtMs), usedAtMs: nowMs, handoverId: undefined, appointedUntilMs: -Infinity }
    known.usedAtMs = nowMs
    customers.set(customer, known)
    return known
  }
  /** Creates the bucket of a customer; once a whole window has passed, no token of an earlier issuer counts any more. */
  const createPrimary = (customer: CustomerId, nowMs: number): LeaseBucket => {
    const sinceMs = issuers.getIssuingSinceMs(customer)
    return createLeaseBucket(sinceMs, nowMs - sinceMs >= tolerance.windowMs)
  }
  /** Returns the bucket of a customer that this entry issues for, if it may issue already. */
  const getPrimary = (customer: CustomerId): LeaseBucket | undefined => {
    const buckets = getBuckets(customer)
    const nowMs = clock.monotonicMs()
    buckets.primary ??= createPrimary(customer, nowMs)
    return buckets.primary.filledAtMs <= nowMs ? buckets.primary : undefined
  }
  const isAppointed = (customer: CustomerId): boolean =>
    issuers.getLiveShare() > 0 && (customers.get(customer)?.appointedUntilMs ?? -Infinity) > clock.monotonicMs()
  const isIssuer = (customer: CustomerId): boolean =>
    issuers.getIssuer(customer) === self || isAppointed(customer)
  const issue = (bucket: LeaseBucket, limits: LeaseBucketLimits, demand: TokenDemand): QuotaAnswer => {
    const nowMs = clock.monotonicMs()
    const count = acquireLease(bucket, limits, demand, nowMs)
    if (count === 0) return { kind: 'denied', waitMs: computeTokenWaitMs(bucket, limits, nowMs) }
    counts.issued += count
    return { kind: 'granted', count, leaseMs: limits.leaseMs }
  }
  const issueFromReserve = (customer: CustomerId, quota: Quota, demand: TokenDemand): QuotaAnswer => {
    const limits = computeShare(computeQuotaBudget(quota, tolerance).reserve, issuers.getLiveShare())
    const answer = issue(getBuckets(customer).reserve, limits, { ...demand, expected: 0 })
    if (answer.kind === 'granted') counts.fromReserve += answer.count
    return answer
  }
  const issueAsIssuer = ({ customer, quota, demand, isFallback }: QuotaRequest): QuotaAnswer => {
    const primary = getPrimary(customer)
    if (!primary) {
      // An entry that does not know this one yet may still issue.
      const hasOther = !isFallback && issuers.getSuccessor(customer) !== undefined
      return hasOther ? { kind: 'elsewhere', issuer: undefined } : issueFromReserve(customer, quota, demand)
    }
    return issue(primary, computeShare(computeQuotaBudget(quota, tolerance).primary, issuers.getLiveShare()), demand)
  }
  const toHandover = (customer: CustomerId, bucket: LeaseBucket): QuotaHandover => {
    const leasedForMs = Math.max(0, (bucket.leases.at(-1)?.expiresAtMs ?? 0) - clock.monotonicMs())
    return { customer, id: Math.floor(random() * MAX_HANDOVER_ID), tokens: bucket.tokens, leased: countLeased(bucket), leasedForMs }
  }
  return {
    answer (request) {
      const { customer, quota, demand, isFallback } = request
      if (isIssuer(customer)) return issueAsIssuer(request)
      const isStandIn = isFallback && issuers.getSuccessor(customer) === self
      return isStandIn ? issueFromReserve(customer, quota, demand) : { kind: 'elsewhere', issuer: issuers.getIssuer(customer) }
    },
    applyHandover ({ customer, id, tokens, leased, leasedForMs }) {
      const buckets = getBuckets(customer)
      if (buckets.handoverId === id) return
      const nowMs = clock.monotonicMs()
      const bucket = buckets.primary && buckets.primary.filledAtMs <= nowMs ? buckets.primary : createLeaseBucket(nowMs)
      bucket.tokens += tokens
      addLease(bucket, leased, nowMs + leasedForMs)
      buckets.primary = bucket
      buckets.handoverId = id
      buckets.appointedUntilMs = nowMs + APPOINTED_MS
    },
    takeHandovers () {
      const nowMs = clock.monotonicMs()
      const handovers: { to: EntryId, handover: QuotaHandover }[] = []
      for (const [customer, buckets] of customers) {
        const { primary } = buckets
        const to = issuers.getIssuer(customer)
        if (!primary || isIssuer(customer)) continue
        buckets.primary = undefined
        if (primary.filledAtMs <= nowMs) handovers.push({ to, handover: toHandover(customer, primary) })
      }
      return handovers
    },
    reset () {
      for (const buckets of customers.values()) buckets.primary = undefined
    },
    removeIdle () {
      const nowMs = clock.monotonicMs()
      for (const [customer, { usedAtMs }] of customers) if (nowMs - usedAtMs > IDLE_MS) customers.delete(customer)
    },
    has: (customer) => customers.has(customer),
    report: () => counts
  }
}
