/**
 * The handshake of a link: both ends prove that they hold the peer key, by a keyed hash over both hellos.
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

/** Reads and writes frames while the handshake runs. */
export interface HandshakeChannel {
  readFrame(): Promise<Result<unknown, AppError>>
  writeFrame(value: unknown): void
}

/** Who the ends are and what they share. */
export interface HandshakeOptions {
  self: PeerIdentity
  /** Secret that all entries share. */
  peerKey: string
}

/** Hashes both hellos in one order; the role keeps one end's proof from being sent back as the other's. */
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
      return err(createError('peer-refused', `the peer speaks protocol ${hello.protocol}, not ${PEER_PROTOCOL_VERSION}`))
    }
    if (hello.incarnation === self.incarnation) return err(createError('peer-refused', 'the peer is this process itself'))
    return ok(hello)
  })
}

function checkProof (expected: Buffer, proof: Uint8Array | undefined): Result<void, AppError> {
  if (proof?.length === expected.length && timingSafeEqual(expected, proof)) return ok(undefined)
  return err(createError('peer-refused', 'the peer does not hold the peer key'))
}

/** Opens the handshake. Errors: `peer-refused`, `frame-malformed`, and those of the channel. */
export async function connectHandshake (channel: HandshakeChannel, options: HandshakeOptions): Promise<Result<PeerIdentity, AppError>> {
  const mine = createHello(options.self)
  channel.writeFrame(mine)
  const theirs = (await channel.readFrame()).andThen((value) => checkHello(value, options.self))
  if (theirs.isErr()) return err(theirs.error)
  const checked = checkProof(computeProof(options.peerKey, 'acceptor', mine, theirs.value), theirs.value.proof)
  if (checked.isErr()) return err(checked.error)
  channel.writeFrame({ type: 'proof', proof: computeProof(options.peerKey, 'initiator', mine, theirs.value) })
  return ok(theirs.value)
}

/** Answers a handshake. Errors: `peer-refused`, `frame-malformed`, and those of the channel. */
export async function answerHandshake (channel: HandshakeChannel, options: HandshakeOptions): Promise<Result<PeerIdentity, AppError>> {
  const theirs = (await channel.readFrame()).andThen((value) => checkHello(value, options.self))
  if (theirs.isErr()) return err(theirs.error)
  const mine = createHello(options.self)
  channel.writeFrame({ ...mine, proof: computeProof(options.peerKey, 'acceptor', theirs.value, mine) })
  const proof = (await channel.readFrame()).andThen(parseProof)
  if (proof.isErr()) return err(proof.error)
  return checkProof(computeProof(options.peerKey, 'initiator', theirs.value, mine), proof.value.proof).map(() => theirs.value)
}
