/**
 * Handshake of a link: both ends prove that they have the peer key by an HMAC over both hello frames.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { parseHello, parseProof, PEER_PROTOCOL_VERSION } from './peer-frames.ts'
import type { HelloFrame, PeerIdentity } from './peer-frames.ts'

const NONCE_BYTES = 16

/** Which end of a link a process is. */
export type LinkRole = 'initiator' | 'acceptor'

/** Reads and writes frames during the handshake. */
export interface HandshakeChannel {
  readFrame(): Promise<Result<unknown, AppError>>
  writeFrame(value: unknown): void
}

/** Identity of this entry and the shared secret. */
export interface HandshakeOptions {
  self: PeerIdentity
  /** Secret shared by all entries. */
  peerKey: string
}

/**
 * Computes the proof of one end over both hello frames, the initiator's first. The hash includes the role, so that the
 * proof of one end can't be sent back as the other's.
 */
function computeProof (peerKey: string, prover: LinkRole, initiator: HelloFrame, acceptor: HelloFrame): Buffer {
  const mac = createHmac('sha256', peerKey)
  mac.update(`medlarcove-peer-${PEER_PROTOCOL_VERSION}-${prover}\n`)
  for (const hello of [initiator, acceptor]) {
    const { id, incarnation, zone, address, port, peerPort } = hello
    mac.update(JSON.stringify([id, incarnation, zone, address, port, peerPort]))
    mac.update(hello.nonce)
  }
  return mac.digest()
}

function createHello (self: PeerIdentity): HelloFrame {
  const { id, incarnation, zone, address, port, peerPort } = self
  return { type: 'hello', protocol: PEER_PROTOCOL_VERSION, id, incarnation, zone, address, port, peerPort, nonce: randomBytes(NONCE_BYTES) }
}

function checkHello (value: unknown, self: PeerIdentity): Result<HelloFrame, AppError> {
  return parseHello(value).andThen((hello) => {
    if (hello.protocol !== PEER_PROTOCOL_VERSION) {
      return err(createError('peer-refused', `the peer uses protocol ${hello.protocol}, this entry uses ${PEER_PROTOCOL_VERSION}`))
    }
    if (hello.incarnation === self.incarnation) return err(createError('peer-refused', 'the peer is this process itself'))
    return ok(hello)
  })
}

function checkProof (expected: Buffer, proof: Uint8Array | undefined): Result<void, AppError> {
  if (proof?.length === expected.length && timingSafeEqual(expected, proof)) return ok(undefined)
  return err(createError('peer-refused', 'the peer has a different `peerKey`; set the same one on all entries'))
}

/** Runs the handshake as the initiator and returns the peer's identity. Errors: `peer-refused`, `frame-malformed`, and those of the channel. */
export async function connectHandshake (channel: HandshakeChannel, options: HandshakeOptions): Promise<Result<PeerIdentity, AppError>> {
  const ownHello = createHello(options.self)
  channel.writeFrame(ownHello)
  const peerHello = (await channel.readFrame()).andThen((value) => checkHello(value, options.self))
  if (peerHello.isErr()) return err(peerHello.error)
  const checked = checkProof(computeProof(options.peerKey, 'acceptor', ownHello, peerHello.value), peerHello.value.proof)
  if (checked.isErr()) return err(checked.error)
  channel.writeFrame({ type: 'proof', proof: computeProof(options.peerKey, 'initiator', ownHello, peerHello.value) })
  return ok(peerHello.value)
}

/** Runs the handshake as the acceptor and returns the peer's identity. Errors: `peer-refused`, `frame-malformed`, and those of the channel. */
export async function answerHandshake (channel: HandshakeChannel, options: HandshakeOptions): Promise<Result<PeerIdentity, AppError>> {
  const peerHello = (await channel.readFrame()).andThen((value) => checkHello(value, options.self))
  if (peerHello.isErr()) return err(peerHello.error)
  const ownHello = createHello(options.self)
  channel.writeFrame({ ...ownHello, proof: computeProof(options.peerKey, 'acceptor', peerHello.value, ownHello) })
  const proof = (await channel.readFrame()).andThen(parseProof)
  if (proof.isErr()) return err(proof.error)
  return checkProof(computeProof(options.peerKey, 'initiator', peerHello.value, ownHello), proof.value.proof).map(() => peerHello.value)
}
