import { createHmac } from 'node:crypto'
import fc from 'fast-check'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { createFrameDecoder, encodeFrame } from '../src/connection/frame-codec.ts'
import type { PeerIdentity } from '../src/connection/peer-frames.ts'
import { answerHandshake, connectHandshake } from '../src/connection/peer-handshake.ts'
import type { HandshakeChannel, HandshakeOptions } from '../src/connection/peer-handshake.ts'
import { createError } from '../src/errors.ts'
import type { AppError } from '../src/errors.ts'
import { createIdentity } from './support/mesh.ts'
import { createModelRuns } from './support/model-runs.ts'

const KEY = 'a key for tests'
const ends: [HandshakeOptions, HandshakeOptions] = [{ self: createIdentity(0), peerKey: KEY }, { self: createIdentity(1), peerKey: KEY }]
type HandshakeResult = Result<PeerIdentity, AppError>

/** A channel whose arriving frames the test supplies; written frames pass through `alter`. */
function createChannel (alter: (bytes: Buffer) => Buffer) {
  const sent: Buffer[] = []
  const arrived: Buffer[] = []
  const waiting: (() => void)[] = []
  const state = { isClosed: false }
  const runWaiting = () => { for (const action of waiting.splice(0)) action() }
  const channel: HandshakeChannel = {
    async readFrame () {
      while (arrived.length === 0 && !state.isClosed) await new Promise<void>((resolve) => waiting.push(resolve))
      const bytes = arrived.shift()
      if (!bytes) return err(createError('peer-broken', 'closed'))
      return createFrameDecoder().addChunk(bytes).andThen((values) => values.length > 0 ? ok(values[0]) : err(createError('peer-broken', 'cut')))
    },
    writeFrame (value) {
      const bytes = alter(encodeFrame(value))
      sent.push(bytes)
    }
  }
  const takeSent = () => sent.splice(0)
  const addArrived = (frames: Buffer[]) => {
    arrived.push(...frames)
    runWaiting()
  }
  const close = () => {
    state.isClosed = true
    runWaiting()
  }
  return { channel, takeSent, addArrived, close }
}

const ROUNDS = 4

/** Runs both ends against each other; `alter` may change each frame, numbered in the order of sending. */
async function runHandshake (options: [HandshakeOptions, HandshakeOptions], alter = (bytes: Buffer, _frame: number) => bytes) {
  const record: Buffer[] = []
  const handle = (bytes: Buffer) => {
    const altered = alter(bytes, record.length)
    record.push(altered)
    return altered
  }
  const [initiatorEnd, acceptorEnd] = [createChannel(handle), createChannel(handle)]
  const results = Promise.all([connectHandshake(initiatorEnd.channel, options[0]), answerHandshake(acceptorEnd.channel, options[1])])
  for (let round = 0; round < ROUNDS; round++) {
    await new Promise<void>((resolve) => setImmediate(resolve))
    acceptorEnd.addArrived(initiatorEnd.takeSent())
    initiatorEnd.addArrived(acceptorEnd.takeSent())
  }
  initiatorEnd.close()
  acceptorEnd.close()
  const [initiator, acceptor] = await results
  return { initiator: initiator as HandshakeResult, acceptor: acceptor as HandshakeResult, record }
}

/** Replays the initiator's frames of an earlier handshake to an acceptor. */
async function replayTo (acceptor: (channel: HandshakeChannel) => Promise<HandshakeResult>, frames: Buffer[]): Promise<HandshakeResult> {
  const end = createChannel((bytes) => bytes)
  const result = acceptor(end.channel)
  end.addArrived(frames)
  await new Promise<void>((resolve) => setImmediate(resolve))
  end.close()
  return result
}

test('two ends with the same key get each other\'s identity', async () => {
  const { initiator, acceptor } = await runHandshake(ends)
  expect(initiator._unsafeUnwrap()).toMatchObject(createIdentity(1))
  expect(acceptor._unsafeUnwrap()).toMatchObject(createIdentity(0))
})

test('ends with different keys reject each other', async () => {
  const { initiator, acceptor } = await runHandshake([ends[0], { ...ends[1], peerKey: 'another' }])
  expect(initiator._unsafeUnwrapErr().kind).toBe('peer-refused')
  expect(acceptor.isErr()).toBe(true)
})

test('a changed byte in any frame never lets an end accept a false identity', async () => {
  await fc.assert(fc.asyncProperty(fc.nat({ max: 2 }), fc.nat(), fc.integer({ min: 1, max: 255 }), async (frame, at, change) => {
    const { initiator, acceptor } = await runHandshake(ends, (bytes, number) => {
      if (number !== frame) return bytes
      const altered = Buffer.from(bytes)
      const position = 4 + at % (altered.length - 4)
      altered[position] = (altered[position] ?? 0) ^ change
      return altered
    })
    if (initiator.isOk()) expect(initiator.value).toMatchObject(createIdentity(1))
    if (acceptor.isOk()) expect(acceptor.value).toMatchObject(createIdentity(0))
  }), createModelRuns(200))
})

test('replayed frames of an earlier handshake are rejected', async () => {
  const { record } = await runHandshake(ends)
  const result = await replayTo((channel) => answerHandshake(channel, ends[1]), [record[0]!, record[2]!])
  expect(result._unsafeUnwrapErr().kind).toBe('peer-refused')
})

test('a proof over key and id alone is accepted again when it is replayed', async () => {
  const computeProof = (id: string) => createHmac('sha256', KEY).update(id).digest('hex')
  const answerNaively = async (channel: HandshakeChannel): Promise<HandshakeResult> => (await channel.readFrame()).andThen((value) => {
    const hello = value as PeerIdentity & { proof: string }
    return hello.proof === computeProof(hello.id) ? ok(hello) : err(createError('peer-refused', 'wrong proof'))
  })
  const recorded = encodeFrame({ ...createIdentity(0), proof: computeProof(createIdentity(0).id) })
  expect((await replayTo(answerNaively, [recorded])).isOk()).toBe(true)
  expect((await replayTo(answerNaively, [Buffer.from(recorded)])).isOk()).toBe(true)
})

test('an attacker cannot reflect the acceptor\'s own proof back to it', async () => {
  const end = createChannel((bytes) => bytes)
  const result = answerHandshake(end.channel, ends[1])
  end.addArrived([encodeFrame({ ...createIdentity(0), type: 'hello', protocol: 1, nonce: new Uint8Array(16) })])
  await new Promise<void>((resolve) => setImmediate(resolve))
  const proofFrame = createFrameDecoder().addChunk(end.takeSent()[0]!)._unsafeUnwrap()[0] as { proof: Uint8Array }
  end.addArrived([encodeFrame({ type: 'proof', proof: proofFrame.proof })])
  expect((await result)._unsafeUnwrapErr().kind).toBe('peer-refused')
})

test('another protocol version is rejected', async () => {
  const end = createChannel((bytes) => bytes)
  const result = answerHandshake(end.channel, ends[1])
  end.addArrived([encodeFrame({ ...createIdentity(0), type: 'hello', protocol: 2, nonce: new Uint8Array(16) })])
  expect((await result)._unsafeUnwrapErr().message).toContain('protocol 2')
})
