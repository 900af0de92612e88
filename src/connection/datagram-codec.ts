/**
 * Codec of the datagrams between entries: one CBOR value, in one or more fragments. Each fragment carries an
 * authentication tag, made with the secret that all entries share.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { Encoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'

/** Encodes and decodes datagrams. */
export interface DatagramCodec {
  /** Encodes a message as datagrams of at most `MAX_DATAGRAM_BYTES`. Errors: `frame-malformed` when it is too large. */
  encode(message: unknown): Result<Buffer[], AppError>
  /**
   * Decodes a datagram. Returns the message once all its fragments have arrived, undefined before.
   * Errors: `peer-refused` for a wrong tag, `frame-malformed`.
   */
  decode(datagram: Uint8Array, sender: string): Result<unknown, AppError>
}

/** Fits the smallest packet that IPv6 networks carry without fragmentation. */
export const MAX_DATAGRAM_BYTES = 1_232
const TAG_BYTES = 16
/** Message number (4), index of the fragment (1), number of fragments (1). */
const FRAGMENT_HEADER_BYTES = 6
const MAX_FRAGMENTS = 64
const FRAGMENT_BYTES = MAX_DATAGRAM_BYTES - TAG_BYTES - FRAGMENT_HEADER_BYTES
/** The largest message, in bytes. */
export const MAX_MESSAGE_BYTES = MAX_FRAGMENTS * FRAGMENT_BYTES
/** Messages of which some fragments are missing; the oldest one is dropped when there are more. */
const MAX_PARTIAL_MESSAGES = 32
/** A message whose fragments do not all arrive within this time is dropped, in ms. */
const PARTIAL_LIFETIME_MS = 2_000
const MAX_MESSAGE_NUMBER = 0xffff_ffff

interface PartialMessage { fragments: (Uint8Array | undefined)[], missingCount: number, startedAtMs: number }

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true })

function decodeValue (bytes: Buffer): Result<unknown, AppError> {
  try {
    return ok(codec.decode(bytes))
  } catch (cause) {
    return err(createError('frame-malformed', 'the datagram is not a valid CBOR value', cause))
  }
}

/** Collects the fragments of messages. */
function createPartialMessages (clock: Clock) {
  const partials = new Map<string, PartialMessage>()
  const dropOld = (): void => {
    const nowMs = clock.monotonicMs()
    for (const [key, { startedAtMs }] of partials) {
      if (partials.size <= MAX_PARTIAL_MESSAGES && nowMs - startedAtMs <= PARTIAL_LIFETIME_MS) return
      partials.delete(key)
    }
  }
  return {
    /** Adds a fragment; returns the bytes of the message when it is the last missing one. */
    addFragment (key: string, index: number, count: number, bytes: Uint8Array): Buffer | undefined {
      const partial = partials.get(key) ?? { fragments: new Array<Uint8Array | undefined>(count).fill(undefined), missingCount: count, startedAtMs: clock.monotonicMs() }
      partials.set(key, partial)
      if (partial.fragments.length === count && partial.fragments[index] === undefined) {
        partial.fragments[index] = bytes
        partial.missingCount -= 1
      }
      if (partial.missingCount === 0) {
        partials.delete(key)
        return Buffer.concat(partial.fragments as Uint8Array[])
      }
      dropOld()
      return undefined
    }
  }
}

/** Creates a codec. */
export function createDatagramCodec (options: { peerKey: string, clock: Clock }): DatagramCodec {
  const { peerKey, clock } = options
  const partials = createPartialMessages(clock)
  let messageNumber = 0

  const computeTag = (content: Uint8Array): Buffer => createHmac('sha256', peerKey).update(content).digest().subarray(0, TAG_BYTES)
  const createDatagram = (body: Buffer, index: number, count: number): Buffer => {
    const start = index * FRAGMENT_BYTES
    const part = body.subarray(start, start + FRAGMENT_BYTES)
    const datagram = Buffer.allocUnsafe(TAG_BYTES + FRAGMENT_HEADER_BYTES + part.length)
    datagram.writeUInt32BE(messageNumber, TAG_BYTES)
    datagram.writeUInt8(index, TAG_BYTES + 4)
    datagram.writeUInt8(count, TAG_BYTES + 5)
    part.copy(datagram, TAG_BYTES + FRAGMENT_HEADER_BYTES)
    computeTag(datagram.subarray(TAG_BYTES)).copy(datagram)
    return datagram
  }
  return {
    encode (message) {
      const body = codec.encode(message)
      if (body.length > MAX_MESSAGE_BYTES) return err(createError('frame-malformed', `the message has ${body.length} bytes, more than ${MAX_MESSAGE_BYTES}`))
      messageNumber = messageNumber === MAX_MESSAGE_NUMBER ? 0 : messageNumber + 1
      const count = Math.ceil(body.length / FRAGMENT_BYTES)
      return ok(Array.from({ length: count }, (_, index) => createDatagram(body, index, count)))
    },
    decode (bytes, sender) {
      const datagram = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
      if (datagram.length <= TAG_BYTES + FRAGMENT_HEADER_BYTES) return err(createError('frame-malformed', `the datagram has only ${datagram.length} bytes`))
      const content = datagram.subarray(TAG_BYTES)
      if (!timingSafeEqual(computeTag(content), datagram.subarray(0, TAG_BYTES))) return err(createError('peer-refused', 'the sender has a different `peerKey`; set the same one on all entries'))
      const index = content.readUInt8(4)
      const count = content.readUInt8(5)
      if (index >= count || count > MAX_FRAGMENTS) return err(createError('frame-malformed', `fragment ${index} of ${count} cannot exist`))
      const part = content.subarray(FRAGMENT_HEADER_BYTES)
      if (count === 1) return decodeValue(part)
      const whole = partials.addFragment(`${sender} ${content.readUInt32BE(0)}`, index, count, Buffer.from(part))
      return whole ? decodeValue(whole) : ok(undefined)
    }
  }
}
