/**
 * One link between two entries: handshake, then frames, with heartbeats both ways. One task runs each link.
 */
import type { Duplex } from 'node:stream'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Offset } from '../types.ts'
import { createFrameDecoder, encodeFrame, LARGEST_FRAME_BYTES } from './frame-codec.ts'
import { parseLinkFrame } from './peer-frames.ts'
import type { BeatFrame, LinkFrame, PeerIdentity } from './peer-frames.ts'
import { answerHandshake, connectHandshake } from './peer-handshake.ts'
import type { HandshakeOptions, LinkRole } from './peer-handshake.ts'

/** Times of a link, in ms. */
export interface LinkTiming {
  /** Between two heartbeats of one end. */
  heartbeatMs: number
  /** Without a frame, or without an acknowledged heartbeat, for this long the link counts as silent. */
  silentAfterMs: number
  /** A link that has been silent for this long is closed. */
  deadAfterMs: number
  /** For the whole handshake. */
  handshakeMs: number
}

/** Heartbeats that an entry sends over all links, a second, before it sends fewer on each. */
const MOST_BEATS_PER_SECOND = 50
const MS_PER_SECOND = 1000

export const DEFAULT_LINK_TIMING: LinkTiming = { heartbeatMs: 500, silentAfterMs: 1_500, deadAfterMs: 10_000, handshakeMs: 1_000 }

/** Stretches the times of a link with the number of links, so that heartbeats cost an entry the same in any fleet. */
export function computeLinkTiming (timing: LinkTiming, linkCount: number): LinkTiming {
  const heartbeatMs = Math.max(timing.heartbeatMs, linkCount * MS_PER_SECOND / MOST_BEATS_PER_SECOND)
  const factor = heartbeatMs / timing.heartbeatMs
  return { ...timing, heartbeatMs, silentAfterMs: timing.silentAfterMs * factor, deadAfterMs: timing.deadAfterMs * factor }
}

const LARGEST_BUFFERED_BYTES = 4_194_304
/** A stranger can make this process buffer no more than this. */
const LARGEST_HANDSHAKE_FRAME_BYTES = 4_096

/** Bytes and frames of a link since it began. */
export interface LinkCounts { sentBytes: number, sentFrames: number, receivedBytes: number, receivedFrames: number }

/** A link after its handshake. */
export interface PeerLink {
  peer: PeerIdentity
  role: LinkRole
  /** When the handshake ended, by the monotonic clock in ms. */
  openedMs: number
  counts: LinkCounts
  /** Writes a frame; false when the link is closed or its buffer is full. */
  sendFrame(frame: LinkFrame): boolean
  /** Whether either direction has been without proof of life for too long. */
  isSilent(): boolean
  close(): void
}

/** What the owner of a link is told. */
export interface LinkEvents {
  /** The handshake has ended; false refuses the peer. */
  handleOpen(link: PeerLink): boolean
  handleFrame(link: PeerLink, frame: Exclude<LinkFrame, BeatFrame>): void
  handleBeat(link: PeerLink, beat: BeatFrame): void
  /** The link has become silent; called once each time. */
  handleSilent(link: PeerLink): void
  /** A frame after the handshake was refused. */
  handleMalformed(link: PeerLink, error: AppError): void
}

/** How to run a link. */
export interface PeerLinkOptions extends HandshakeOptions {
  role: LinkRole
  clock: Clock
  /** Returns the times that hold now; they grow with the number of peers. */
  getTiming(): LinkTiming
  events: LinkEvents
  /** What the heartbeats tell besides life. */
  describeSelf(): { offset: Offset, isLeaving: boolean, isBusy: boolean }
}

interface FrameStream {
  readFrame(): Promise<Result<unknown, AppError>>
  writeFrame(value: unknown): boolean
  /** Allows large frames, once the peer has proved itself. */
  setOpen(): void
}

function createFrameStream (socket: Duplex, counts: LinkCounts): FrameStream {
  const decoder = createFrameDecoder(LARGEST_HANDSHAKE_FRAME_BYTES)
  const chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  let waiting: unknown[] = []
  const readChunk = async (): Promise<Result<void, AppError>> => {
    try {
      const next = await chunks.next()
      if (next.done) return err(createError('peer-broken', 'the peer closed the link'))
      counts.receivedBytes += next.value.length
      const values = decoder.addChunk(next.value)
      if (values.isErr()) return err(values.error)
      waiting = values.value
      return ok(undefined)
    } catch (cause) {
      return err(createError('peer-broken', describeCause(cause), cause))
    }
  }
  return {
    async readFrame () {
      while (waiting.length === 0) {
        const read = await readChunk()
        if (read.isErr()) return err(read.error)
      }
      counts.receivedFrames += 1
      return ok(waiting.shift())
    },
    writeFrame (value) {
      if (socket.destroyed || socket.writableLength > LARGEST_BUFFERED_BYTES) return false
      const frame = encodeFrame(value)
      // The peer would take a larger frame for a fault and drop the link.
      if (frame.length > LARGEST_FRAME_BYTES) return false
      counts.sentBytes += frame.length
      counts.sentFrames += 1
      socket.write(frame)
      return true
    },
    setOpen: () => decoder.setLargestBytes(LARGEST_FRAME_BYTES)
  }
}

/** Proof of life in both directions. */
interface LifeSigns {
  markHeard(beat?: BeatFrame): void
  takeBeat(): { seq: number, ack: number }
  /** For how long the worse direction has been without proof, in ms. */
  getSilenceMs(): number
}

function createLifeSigns (clock: Clock, getTiming: () => LinkTiming): LifeSigns {
  let heardMs = clock.monotonicMs()
  let acknowledgedMs = heardMs
  let lastTickMs = heardMs
  let seq = 0
  let heardSeq = 0
  let acknowledgedSeq = 0
  const PAUSE_BEATS = 2
  return {
    markHeard (beat) {
      heardMs = clock.monotonicMs()
      if (!beat) return
      heardSeq = Math.max(heardSeq, beat.seq)
      // An acknowledgement counts only for a heartbeat that was sent and is newer than the last one acknowledged.
      if (beat.ack <= acknowledgedSeq || beat.ack > seq) return
      acknowledgedSeq = beat.ack
      acknowledgedMs = heardMs
    },
    takeBeat () {
      const nowMs = clock.monotonicMs()
      // After a pause of this process the silence is its own: what arrived meanwhile is read first.
      if (nowMs - lastTickMs > PAUSE_BEATS * getTiming().heartbeatMs) heardMs = acknowledgedMs = nowMs
      lastTickMs = nowMs
      seq += 1
      return { seq, ack: heardSeq }
    },
    getSilenceMs: () => clock.monotonicMs() - Math.min(heardMs, acknowledgedMs)
  }
}

/** Lets what was written go out, then closes for good. */
function closeSocket (socket: Duplex, clock: Clock, lingerMs: number): void {
  if (socket.destroyed) return
  const cancel = clock.startTimer(lingerMs, () => socket.destroy())
  socket.end(() => {
    cancel()
    socket.destroy()
  })
}

/** Sends heartbeats until the returned function is called. */
function startBeats (link: PeerLink, signs: LifeSigns, options: PeerLinkOptions): () => void {
  const { clock, getTiming, events } = options
  let wasSilent = false
  let sentOffset: Offset | undefined
  let cancel = () => {}
  const sendBeat = () => {
    const { offset, isLeaving, isBusy } = options.describeSelf()
    const beat: BeatFrame = { type: 'beat', ...signs.takeBeat() }
    if (offset !== sentOffset) beat.offset = offset
    if (isLeaving) beat.leaving = true
    if (isBusy) beat.busy = true
    if (link.sendFrame(beat)) sentOffset = offset
    const timing = getTiming()
    const isSilent = signs.getSilenceMs() > timing.silentAfterMs
    if (isSilent && !wasSilent) events.handleSilent(link)
    wasSilent = isSilent
    if (signs.getSilenceMs() > timing.deadAfterMs) return link.close()
    cancel = clock.startTimer(timing.heartbeatMs, sendBeat)
  }
  sendBeat()
  return () => cancel()
}

/** Reads frames until the link ends, and returns why. */
async function handleFrames (link: PeerLink, stream: FrameStream, signs: LifeSigns, events: LinkEvents): Promise<AppError> {
  for (;;) {
    const read = await stream.readFrame()
    if (read.isErr() && read.error.kind !== 'frame-malformed') return read.error
    const frame = read.andThen(parseLinkFrame)
    if (frame.isErr()) {
      events.handleMalformed(link, frame.error)
      return frame.error
    }
    if (frame.value.type === 'beat') {
      signs.markHeard(frame.value)
      events.handleBeat(link, frame.value)
      continue
    }
    signs.markHeard()
    events.handleFrame(link, frame.value)
  }
}

/** Runs one link from handshake to end, and returns why it ended. Errors: `peer-refused`, `frame-malformed`, `peer-broken`. */
export async function servePeerLink (socket: Duplex, options: PeerLinkOptions): Promise<AppError> {
  const { clock, getTiming, events, role } = options
  const { handshakeMs } = getTiming()
  const counts: LinkCounts = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 }
  // Errors reach the reader as well; without a listener they would end the process.
  socket.on('error', () => {})
  const stream = createFrameStream(socket, counts)
  const cancelHandshake = clock.startTimer(handshakeMs, () => socket.destroy(new Error('handshake timeout')))
  const handshake = role === 'initiator' ? connectHandshake : answerHandshake
  const peer = await handshake(stream, options)
  cancelHandshake()
  if (peer.isErr()) {
    socket.destroy()
    return peer.error
  }
  stream.setOpen()
  const signs = createLifeSigns(clock, getTiming)
  const link: PeerLink = {
    peer: peer.value,
    role,
    openedMs: clock.monotonicMs(),
    counts,
    sendFrame: (frame) => stream.writeFrame(frame),
    isSilent: () => signs.getSilenceMs() > getTiming().silentAfterMs,
    close: () => closeSocket(socket, clock, handshakeMs)
  }
  if (!events.handleOpen(link)) {
    link.close()
    return createError('peer-refused', 'a later run of this entry is known')
  }
  const stopBeats = startBeats(link, signs, options)
  const ended = await handleFrames(link, stream, signs, events)
  stopBeats()
  socket.destroy()
  return ended
}
