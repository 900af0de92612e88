/**
 * The messages of the membership, and their compact form on the wire: short keys, and members as arrays, because a message
 * names several members and is sent several times a second.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Liveness, MemberRecord, MemberStatus, MemberUpdate } from '../process/gossip/member-record.ts'
import { MAX_PORT } from '../unicast-address.ts'
import { toBrand } from '../types.ts'
import type { EntryId, ZoneId } from '../types.ts'
import type { DatagramAddress } from './datagram-socket.ts'

/** A message between two members. `from` is the sender's own record; `updates` are passed on for other members. */
export type GossipMessage =
  /** Requests an `ack` with the same `sequence`. `digest` is a hash of the sender's view, `attachment` a value of the application. */
  | { type: 'ping', sequence: number, from: MemberRecord, digest: number, updates: MemberUpdate[], attachment: unknown }
  | { type: 'ack', sequence: number, from: MemberRecord, digest: number, updates: MemberUpdate[], attachment: unknown }
  /** Requests that the recipient pings `target` and passes on its `ack`. */
  | { type: 'ping-request', sequence: number, from: MemberRecord, target: DatagramAddress }
  /** Requests the view of the recipient; it responds with no updates if its view has this digest. */
  | { type: 'sync-request', from: MemberRecord, digest: number }
  /** Updates of the sender's whole view, as many as fit into one message. */
  | { type: 'sync', from: MemberRecord, updates: MemberUpdate[] }
  /**
   * Carries a value of the application to all members. A relay sends it on to the members of its zone. `delayMs` is how long the
   * message may have waited at the relay.
   */
  | { type: 'broadcast', from: MemberRecord, isRelay: boolean, delayMs: number, payload: unknown }
  /** Carries a value of the application to the recipient alone. */
  | { type: 'direct', from: MemberRecord, payload: unknown }

const MAX_TEXT_LENGTH = 128
const MAX_UPDATES = 4_096
const FLAG_BITS: Record<keyof MemberStatus, number> = { isReady: 1, isLeaving: 2, isBusy: 4, canReadStore: 8, isCutOff: 16, isPartlyCutOff: 32 }
/** The capacity in hundredths of a core takes the higher bits of the flags, which members of earlier releases do not read; 0 when it is not stated. */
const FLAGS_LIMIT = 256
const CAPACITY_UNITS_PER_CORE = 100
const MAX_CAPACITY_UNITS = 1_000_000
const LIVENESS_CODES: readonly Liveness[] = ['alive', 'suspect', 'dead']

const text = z.string().min(1).max(MAX_TEXT_LENGTH)
const port = z.number().int().min(1).max(MAX_PORT)
const counter = z.number().int().nonnegative()
const record = z.tuple([text, text, text, port, port, counter, counter, counter])
const update = z.tuple([record, z.number().int().min(0).max(LIVENESS_CODES.length - 1)])
const updates = z.array(update).max(MAX_UPDATES)

const frameSchema = z.discriminatedUnion('t', [
  z.object({ t: z.literal('p'), s: counter, f: record, h: counter, u: updates, a: z.unknown() }),
  z.object({ t: z.literal('a'), s: counter, f: record, h: counter, u: updates, a: z.unknown() }),
  z.object({ t: z.literal('r'), s: counter, f: record, d: z.tuple([text, port]) }),
  z.object({ t: z.literal('q'), f: record, h: counter }),
  z.object({ t: z.literal('s'), f: record, u: updates }),
  z.object({ t: z.literal('b'), f: record, r: z.boolean(), w: counter.optional(), v: z.unknown() }),
  z.object({ t: z.literal('d'), f: record, v: z.unknown() })
])

type WireRecord = z.infer<typeof record>
type WireUpdate = z.infer<typeof update>

function formatCapacity (capacity: number | undefined): number {
  return capacity === undefined ? 0 : Math.min(MAX_CAPACITY_UNITS, Math.max(1, Math.round(capacity * CAPACITY_UNITS_PER_CORE)))
}

function parseCapacity (flags: number): number | undefined {
  const units = Math.floor(flags / FLAGS_LIMIT)
  return units === 0 ? undefined : units / CAPACITY_UNITS_PER_CORE
}

function formatRecord ({ id, zone, address, port, peerPort, run, version, capacity, status }: MemberRecord): WireRecord {
  const names = Object.keys(FLAG_BITS) as (keyof MemberStatus)[]
  const flags = names.reduce((sum, name) => sum + (status[name] ? FLAG_BITS[name] : 0), 0)
  return [id, zone, address, port, peerPort, run, version, flags + formatCapacity(capacity) * FLAGS_LIMIT]
}

function parseRecord ([id, zone, address, port, peerPort, run, version, flags]: WireRecord): MemberRecord {
  const hasFlag = (name: keyof MemberStatus): boolean => (flags & FLAG_BITS[name]) !== 0
  return {
    id: toBrand<EntryId>(id),
    zone: toBrand<ZoneId>(zone),
    address,
    port,
    peerPort,
    run,
    version,
    capacity: parseCapacity(flags),
    status: {
      isReady: hasFlag('isReady'),
      isLeaving: hasFlag('isLeaving'),
      isBusy: hasFlag('isBusy'),
      canReadStore: hasFlag('canReadStore'),
      isCutOff: hasFlag('isCutOff'),
      isPartlyCutOff: hasFlag('isPartlyCutOff')
    }
  }
}

function formatUpdate ({ record, liveness }: MemberUpdate): WireUpdate {
  return [formatRecord(record), LIVENESS_CODES.indexOf(liveness)]
}

function parseUpdate ([record, code]: WireUpdate): MemberUpdate {
  return { record: parseRecord(record), liveness: LIVENESS_CODES[code] ?? 'alive' }
}

/** Converts a message to its wire form. */
export function formatGossipMessage (message: GossipMessage): unknown {
  const f = formatRecord(message.from)
  switch (message.type) {
    case 'ping': return { t: 'p', s: message.sequence, f, h: message.digest, u: message.updates.map(formatUpdate), a: message.attachment }
    case 'ack': return { t: 'a', s: message.sequence, f, h: message.digest, u: message.updates.map(formatUpdate), a: message.attachment }
    case 'ping-request': return { t: 'r', s: message.sequence, f, d: [message.target.address, message.target.port] }
    case 'sync-request': return { t: 'q', f, h: message.digest }
    case 'sync': return { t: 's', f, u: message.updates.map(formatUpdate) }
    case 'broadcast': return { t: 'b', f, r: message.isRelay, w: Math.ceil(message.delayMs), v: message.payload }
    case 'direct': return { t: 'd', f, v: message.payload }
  }
}

function toMessage (frame: z.infer<typeof frameSchema>): GossipMessage {
  const from = parseRecord(frame.f)
  switch (frame.t) {
    case 'p': return { type: 'ping', sequence: frame.s, from, digest: frame.h, updates: frame.u.map(parseUpdate), attachment: frame.a }
    case 'a': return { type: 'ack', sequence: frame.s, from, digest: frame.h, updates: frame.u.map(parseUpdate), attachment: frame.a }
    case 'r': return { type: 'ping-request', sequence: frame.s, from, target: { address: frame.d[0], port: frame.d[1] } }
    case 'q': return { type: 'sync-request', from, digest: frame.h }
    case 's': return { type: 'sync', from, updates: frame.u.map(parseUpdate) }
    case 'b': return { type: 'broadcast', from, isRelay: frame.r, delayMs: frame.w ?? 0, payload: frame.v }
    case 'd': return { type: 'direct', from, payload: frame.v }
  }
}

/** Parses a decoded value as a message. Errors: `frame-malformed`. */
export function parseGossipMessage (value: unknown): Result<GossipMessage, AppError> {
  const parsed = frameSchema.safeParse(value)
  if (parsed.success) return ok(toMessage(parsed.data))
  const issue = parsed.error.issues[0]
  return err(createError('frame-malformed', `${issue?.path.join('.') || 'message'}: ${issue?.message ?? 'invalid'}`))
}
