/**
 * The messages that gateways send to each other by the membership, and their form on the wire.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { CustomerId, EntryId, ServiceId, StoreEpoch, TargetId } from '../../types.ts'
import type { SharedRecordRange } from '../discovery/shared-range.ts'
import type { TopicProgress } from '../discovery/read-position.ts'
import type { RequestFingerprint } from '../../request/request-fingerprint.ts'
import type { QuotaMessage } from '../quotas/quota-messages.ts'
import type { QuarantineMessage } from '../quarantine/quarantine-messages.ts'
import type { ReachMessage } from '../selection/reach-messages.ts'
import type { LimitMessage } from '../target-limits/limit-messages.ts'

/** A message to other gateways. */
export type GatewayMessage =
  /** The sender has found that the run of a target which started at `bornMs` is leaving. */
  | { type: 'target-leaving', target: TargetId, bornMs?: number | undefined }
  /** Records that the sender has read from a topic of the store. */
  | { type: 'topic-range', range: SharedRecordRange }
  /** Messages that share the rate limits of targets. */
  | LimitMessage
  /** Messages that share the quotas of customers. */
  | QuotaMessage
  /** Messages that share the crashes of targets and the trials of suspected requests. */
  | QuarantineMessage
  /** Messages that tell failed targets from a failed network. */
  | ReachMessage

/** How far the sender has read each topic; rides on each probe. */
export type ReadProgress = { topic: string, progress: TopicProgress }[]

const MAX_TEXT_LENGTH = 128
const MAX_RECORDS = 10_000
const MAX_TOPICS = 8
const MAX_CRASHES = 64
const MAX_RUNS = 256
const MAX_CHECKED_TARGETS = 16

const text = z.string().min(1).max(MAX_TEXT_LENGTH)
const counter = z.number().int().nonnegative()
const duration = z.number().nonnegative()
const target = text.transform((id) => toBrand<TargetId>(id))
const service = text.transform((name) => toBrand<ServiceId>(name))
const cold = z.object({ leftMs: duration, warmForMs: duration, sentAgoMs: duration, receivedAgoMs: duration })
const limit = z.object({ perSecond: duration.optional(), sentAgoMs: duration, receivedAgoMs: duration, cold: cold.optional() })
const answer = z.object({ isGranted: z.boolean(), waitMs: duration })
const customer = text.transform((name) => toBrand<CustomerId>(name))
const issuer = text.transform((id) => toBrand<EntryId>(id))
const quota = z.object({ ratePerSecond: z.number().positive(), burst: duration })
const quotaRequest = z.object({ customer, quota, demand: z.object({ required: counter, expected: counter }), isFallback: z.boolean() })
const quotaAnswer = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted'), count: counter, leaseMs: duration }),
  z.object({ kind: z.literal('denied'), waitMs: duration }),
  z.object({ kind: z.literal('elsewhere'), issuer: issuer.optional() })
])
const quotaHandover = z.object({ customer, id: counter, tokens: duration, leased: counter, leasedForMs: duration })
const request = text.transform((fingerprint) => toBrand<RequestFingerprint>(fingerprint))
const runs = z.array(z.object({ request, kind: z.enum(['ordinary', 'trial', 'isolated']) })).max(MAX_RUNS)
const epoch = counter.transform((value) => toBrand<StoreEpoch>(value))
const messageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('target-leaving'), target, bornMs: z.number().int().optional() }),
  z.object({ type: z.literal('target-limit'), target, limit }),
  z.object({ type: z.literal('permit-request'), sequence: counter, target, limit }),
  z.object({ type: z.literal('permit-response'), sequence: counter, target, answer, limit }),
  z.object({ type: z.literal('quota-request'), sequence: counter, request: quotaRequest }),
  z.object({ type: z.literal('quota-response'), sequence: counter, answer: quotaAnswer }),
  z.object({ type: z.literal('quota-handover'), handover: quotaHandover }),
  z.object({ type: z.literal('target-crashes'), crashes: z.array(z.object({ target, agoMs: duration, runs })).max(MAX_CRASHES) }),
  z.object({ type: z.literal('request-completed'), request, agoMs: duration }),
  z.object({ type: z.literal('trial-unfinished'), request, agoMs: duration }),
  z.object({ type: z.literal('trial-request'), sequence: counter, request, forMs: duration }),
  z.object({ type: z.literal('trial-response'), sequence: counter, isGranted: z.boolean() }),
  z.object({ type: z.literal('trial-end'), request }),
  z.object({ type: z.literal('reach-request'), sequence: counter, service, targets: z.array(z.object({ target, unreachedForMs: duration })).max(MAX_CHECKED_TARGETS) }),
  z.object({ type: z.literal('reach-response'), sequence: counter, reached: z.array(z.object({ target, agoMs: duration })).max(MAX_CHECKED_TARGETS) }),
  z.object({
    type: z.literal('topic-range'),
    range: z.object({
      topic: text,
      epoch,
      from: counter,
      next: counter,
      ageMs: duration.optional(),
      isAfterOutage: z.boolean(),
      records: z.array(z.object({ offset: counter, key: z.string(), value: z.instanceof(Uint8Array).optional() })).max(MAX_RECORDS)
    })
  })
])
const progressSchema = z.array(z.tuple([text, epoch, counter, duration])).max(MAX_TOPICS)

function toMalformed (error: z.ZodError): AppError {
  const issue = error.issues[0]
  return createError('frame-malformed', `${issue?.path.join('.') || 'message'}: ${issue?.message ?? 'invalid'}`)
}

/** Parses a message of another gateway. Errors: `frame-malformed`. */
export function parseGatewayMessage (value: unknown): Result<GatewayMessage, AppError> {
  const parsed = messageSchema.safeParse(value)
  if (!parsed.success) return err(toMalformed(parsed.error))
  return ok(parsed.data as GatewayMessage)
}

/** Returns what a message says when it is `ms` older. */
export function addMessageAge (message: GatewayMessage, ms: number): GatewayMessage {
  if (message.type !== 'topic-range' || message.range.ageMs === undefined) return message
  return { ...message, range: { ...message.range, ageMs: message.range.ageMs + ms } }
}

/** Returns what the progress of another gateway says when it is `ms` older. */
export function addProgressAge (topics: ReadProgress, ms: number): ReadProgress {
  return topics.map(({ topic, progress }) => ({ topic, progress: { ...progress, ageMs: progress.ageMs + ms } }))
}

/** Converts the progress of all topics to its wire form. */
export function formatProgress (topics: ReadProgress): unknown {
  return topics.map(({ topic, progress }) => [topic, progress.epoch, progress.next, Math.ceil(progress.ageMs)])
}

/** Parses the progress of another gateway. Errors: `frame-malformed`. */
export function parseProgress (value: unknown): Result<ReadProgress, AppError> {
  const parsed = progressSchema.safeParse(value)
  if (!parsed.success) return err(toMalformed(parsed.error))
  return ok(parsed.data.map(([topic, epoch, next, ageMs]) => ({ topic, progress: { epoch, next, ageMs } })))
}
