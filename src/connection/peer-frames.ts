/**
 * Schemas and types of the frames between two entries.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { PeerMessage } from '../process/membership/peer-mesh.ts'
import type { EntryId, Incarnation, Offset, ZoneId } from '../types.ts'
import { MAX_PORT } from '../unicast-address.ts'

/** Version of the peer protocol; both ends must use the same. */
export const PEER_PROTOCOL_VERSION = 1

const MAX_ID_LENGTH = 128
const NONCE_BYTES = 16
const PROOF_BYTES = 32
const MAX_FACTS = 4_096
const MAX_RECORDS = 10_000

const id = z.string().min(1).max(MAX_ID_LENGTH)
const port = z.number().int().min(0).max(MAX_PORT)
const counter = z.number().int().nonnegative()
const bytes = z.instanceof(Uint8Array)
const nonce = bytes.refine((value) => value.length === NONCE_BYTES, `must be ${NONCE_BYTES} bytes`)
const proof = bytes.refine((value) => value.length === PROOF_BYTES, `must be ${PROOF_BYTES} bytes`)

const identity = { id, incarnation: id, zone: id, address: id, port, peerPort: port }
const helloSchema = z.object({
  type: z.literal('hello'), protocol: counter, ...identity, nonce, proof: proof.optional()
})
const proofSchema = z.object({ type: z.literal('proof'), proof })
const headers = z.record(z.string(), z.string())

const linkFrameSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('beat'), seq: counter, ack: counter, offset: z.number().int().optional(), leaving: z.literal(true).optional() }),
  z.object({ type: z.literal('members'), facts: z.array(z.object({ ...identity, isHeard: z.boolean(), isLeaving: z.boolean() })).max(MAX_FACTS) }),
  z.object({
    type: z.literal('contract-records'),
    previousOffset: z.number().int(),
    records: z.array(z.object({ offset: counter, data: bytes })).max(MAX_RECORDS)
  }),
  z.object({ type: z.literal('contract-pull'), from: counter }),
  z.object({ type: z.literal('target-leaving'), customer: id, service: id, target: id }),
  z.object({
    type: z.literal('forward-request'),
    call: counter,
    request: z.object({ customer: id, service: id, method: id, path: z.string(), headers, body: bytes, remainingMs: z.number() })
  }),
  z.object({
    type: z.literal('forward-answer'),
    call: counter,
    answer: z.object({ status: z.number().int(), headers, body: bytes, fate: z.enum(['ran', 'not-run', 'unknown']) })
  })
])

/** Identity and addresses of an entry, as it states them itself. */
export interface PeerIdentity {
  id: EntryId
  incarnation: Incarnation
  zone: ZoneId
  address: string
  /** Port for callers. */
  port: number
  peerPort: number
}

/**
 * What one entry reports about another. `isHeard`: it receives frames from it directly; `isLeaving`: the other entry is
 * shutting down.
 */
export interface MemberFact extends PeerIdentity { isHeard: boolean, isLeaving: boolean }

/** First frame of each end. The acceptor's contains its proof. */
export interface HelloFrame extends PeerIdentity { type: 'hello', protocol: number, nonce: Uint8Array, proof?: Uint8Array }
/** Second frame of the initiator, with its proof. */
export interface ProofFrame { type: 'proof', proof: Uint8Array }
/** Heartbeat: its number `seq`, the highest number received from the other end `ack`, and what has changed at the sender. */
export interface BeatFrame { type: 'beat', seq: number, ack: number, offset?: Offset, leaving?: true }
/** The sender's local view of the other members. The first one on a link is complete, later ones contain the changes. */
export interface MembersFrame { type: 'members', facts: MemberFact[] }
/** Frames after the handshake. */
export type LinkFrame = BeatFrame | MembersFrame | PeerMessage

function checkFrame<T> (schema: z.ZodType, value: unknown): Result<T, AppError> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return ok(parsed.data as T)
  const issue = parsed.error.issues[0]
  return err(createError('frame-malformed', `${issue?.path.join('.') || 'frame'}: ${issue?.message ?? 'invalid'}`))
}

/** Parses a decoded value as a hello frame. Errors: `frame-malformed`. */
export function parseHello (value: unknown): Result<HelloFrame, AppError> {
  return checkFrame(helloSchema, value)
}

/** Parses a decoded value as the initiator's proof frame. Errors: `frame-malformed`. */
export function parseProof (value: unknown): Result<ProofFrame, AppError> {
  return checkFrame(proofSchema, value)
}

/** Parses a decoded value as a frame after the handshake. Errors: `frame-malformed`. */
export function parseLinkFrame (value: unknown): Result<LinkFrame, AppError> {
  return checkFrame(linkFrameSchema, value)
}
