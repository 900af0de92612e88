/**
 * Asks the issuer of a customer for tokens; when it does not answer, asks the entry that stands in for it.
 */
import type { CustomerId, EntryId } from '../../types.ts'
import type { PeerMessaging } from '../peer-messaging.ts'
import { createPendingResponses } from '../pending-responses.ts'
import type { IssuerView } from '../shared-limits/issuer-view.ts'
import type { QuotaAnswer, QuotaMessage, QuotaRequest } from './quota-messages.ts'

/** The answer to a request, and when the request was sent, by the monotonic clock in ms. */
export interface AskedAnswer { answer: QuotaAnswer | undefined, askedAtMs: number }

/** Called with an answer that came after its timeout. */
export type HandleLateAnswer = (request: QuotaRequest, answer: QuotaAnswer, askedAtMs: number) => void

/** Asks for tokens. */
export interface IssuerRequests {
  /** Resolves with the answer; with none when neither the issuer nor its stand-in responds. */
  request(request: QuotaRequest, handleLate: HandleLateAnswer): Promise<AskedAnswer>
  /** Settles the request with this sequence number. */
  settle(sequence: number, answer: QuotaAnswer): void
  /** Records that an entry can be reached. */
  recordMessage(from: EntryId): void
  report(): { asked: number, unanswered: number }
}

/** Options of `createIssuerRequests`. */
export interface IssuerRequestsOptions extends PeerMessaging<QuotaMessage> {
  issuers: IssuerView<CustomerId>
  /** Answers a request in the place of this entry. */
  answer(request: QuotaRequest): QuotaAnswer
}

/** A request is sent again, or to another entry, without a response within this time, in ms. */
const RESPONSE_TIMEOUT_MS = 50
/** Times that a request is sent to the same entry, since one datagram may be lost. */
const MAX_SENDS = 2
/** An entry that did not respond is asked nothing for this time, in ms, unless it is heard before. */
const SILENT_MS = 500

/** Creates the requests of an entry. */
export function createIssuerRequests (options: IssuerRequestsOptions): IssuerRequests {
  const { self, clock, random, issuers } = options
  const pending = createPendingResponses<QuotaAnswer>({ clock, random, timeoutMs: RESPONSE_TIMEOUT_MS })
  const silentUntilMs = new Map<EntryId, number>()
  const counts = { asked: 0, unanswered: 0 }

  const sendOnce = async (to: EntryId, request: QuotaRequest, handleLate: HandleLateAnswer): Promise<AskedAnswer> => {
    const askedAtMs = clock.monotonicMs()
    counts.asked += 1
    const answer = await pending.request(
      (sequence) => options.send(to, { type: 'quota-request', sequence, request }),
      (late) => { if (late.kind === 'granted') handleLate(request, late, askedAtMs) }
    )
    if (!answer) counts.unanswered += 1
    return { answer, askedAtMs }
  }
  const requestFrom = async (to: EntryId, request: QuotaRequest, handleLate: HandleLateAnswer): Promise<AskedAnswer> => {
    const nowMs = clock.monotonicMs()
    if (to === self) return { answer: options.answer(request), askedAtMs: nowMs }
    const none = { answer: undefined, askedAtMs: nowMs }
    if ((silentUntilMs.get(to) ?? -Infinity) > nowMs) return none
    for (let send = 0; send < MAX_SENDS; send++) {
      const asked = await sendOnce(to, request, handleLate)
      if (asked.answer) return asked
    }
    silentUntilMs.set(to, clock.monotonicMs() + SILENT_MS)
    return none
  }
  return {
    async request (request, handleLate) {
      const { customer } = request
      let asked = await requestFrom(issuers.getIssuer(customer), request, handleLate)
      if (asked.answer?.kind === 'elsewhere' && asked.answer.issuer !== undefined) asked = await requestFrom(asked.answer.issuer, request, handleLate)
      if (asked.answer && asked.answer.kind !== 'elsewhere') return asked
      const standIn = issuers.getSuccessor(customer)
      return standIn === undefined ? asked : await requestFrom(standIn, { ...request, isFallback: true }, handleLate)
    },
    settle: (sequence, answer) => { pending.settle(sequence, answer) },
    recordMessage (from) {
      silentUntilMs.delete(from)
    },
    report: () => counts
  }
}
