/**
 * The messages by which entries share the quotas of customers.
 */
import type { CustomerId, EntryId } from '../../types.ts'
import type { Quota } from '../../version/customer-keys.ts'
import type { TokenDemand } from './lease-bucket.ts'

/** The answer to a request for tokens. */
export type QuotaAnswer =
  /** Tokens that may be used for `leaseMs` from the moment of the request. */
  | { kind: 'granted', count: number, leaseMs: number }
  /** No token; the next one accrues in `waitMs`. */
  | { kind: 'denied', waitMs: number }
  /** This entry does not issue the tokens; which one does in its view, or undefined when it is to issue them and may not yet. */
  | { kind: 'elsewhere', issuer: EntryId | undefined }

/** What an entry asks an issuer for. */
export interface QuotaRequest {
  customer: CustomerId
  /** The quota by the configuration in effect at the sender. */
  quota: Quota
  demand: TokenDemand
  /** Whether the issuer in the view of the sender did not answer. */
  isFallback: boolean
}

/** What the issuer of a customer tells its successor when it ceases to issue. */
export interface QuotaHandover {
  customer: CustomerId
  /** Differs from that of any other handover, so that a duplicate is not applied. */
  id: number
  /** Tokens that were left, and those on lease, of which the last expires in `leasedForMs`. */
  tokens: number
  leased: number
  leasedForMs: number
}

/** A message between entries. */
export type QuotaMessage =
  | { type: 'quota-request', sequence: number, request: QuotaRequest }
  /** Answers the request with the same sequence number. */
  | { type: 'quota-response', sequence: number, answer: QuotaAnswer }
  | { type: 'quota-handover', handover: QuotaHandover }
