/**
 * One link between two entries: the handshake, then frames and heartbeats in both directions. Each link is served by one
 * asynchronous task.
 */
import type { Duplex } from 'node:stream'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Offset } from '../types.ts'
import { createFrameDecoder, encodeFrame, MAX_FRAME_BYTES } from './frame-codec.ts'
import { parseLinkFrame } from './peer-frames.ts'
import type { BeatFrame, LinkFrame, PeerIdentity } from './peer-frames.ts'
import { answerHandshake, connectHandshake } from './peer-handshake.ts'
import type { HandshakeOptions, LinkRole } from './peer-handshake.ts'

/** Intervals and timeouts of a link, in ms. */
export interface LinkTiming {
  /** Interval between two heartbeats of one end. */
  heartbeatMs: number
  /** After this time without a frame, or without an acknowledged heartbeat, the link counts as silent. */
  silentAfterMs: number
  /** After this time without a frame, or without an acknowledged heartbeat, the link is closed. */
  deadAfterMs: number
  /** Timeout of the complete handshake. */
  handshakeTimeoutMs: number
}

/** Heartbeats that an entry sends over all its links; with more links the interval grows. */
const MAX_HEARTBEATS_PER_SECOND = 50
const MS_PER_SECOND = 1000

/** Timing of a link in a small cluster. */
export const DEFAULT_LINK_TIMING: LinkTiming = { heartbeatMs: 500, silentAfterMs: 1_500, deadAfterMs: 10_000, handshakeTimeoutMs: 1_000 }

/** Computes the timing of a link: with many links the times grow, so that the cost of heartbeats doesn't depend on the cluster size. */
export function computeLinkTiming (timing: LinkTiming, linkCount: number): LinkTiming {
  const heartbeatMs = Math.max(timing.heartbeatMs, linkCount * MS_PER_SECOND / MAX_HEARTBEATS_PER_SECOND)
  const factor = heartbeatMs / timing.heartbeatMs
  return { ...timing, heartbeatMs, silentAfterMs: timing.silentAfterMs * factor, deadAfterMs: timing.deadAfterMs * factor }
}

/** A link whose write buffer is larger sends no further frames, in bytes. */
const MAX_BUFFERED_BYTES = 4_194_304
/** Limits what an unauthenticated peer can make this process buffer. */
const MAX_HANDSHAKE_FRAME_BYTES = 4_096

/** Bytes and frames sent and received on a link since it was opened. */
export interface LinkCounts { sentBytes: number, sentFrames: number, receivedBytes: number, receivedFrames: number }

/** A link after its handshake. */
export interface PeerLink {
  peer: PeerIdentity
  role: LinkRole
  /** When the handshake ended, by the monotonic clock in ms. */
  openedAtMs: number
  counts: LinkCounts
  /** Writes a frame; false when the link is closed, its buffer is full or the frame is too large. */
  sendFrame(frame: LinkFrame): boolean
  /** Whether no frame, or no acknowledged heartbeat, has arrived for `silentAfterMs`. */
  isSilent(): boolean
  /** Sends what is buffered, then closes the link. */
  close(): void
}

/** Events of a link for its owner. */
export interface LinkEvents {
  /** The handshake has succeeded; returning false rejects the peer. */
  handleOpen(link: PeerLink): boolean
  handleFrame(link: PeerLink, frame: Exclude<LinkFrame, BeatFrame>): void
  handleBeat(link: PeerLink, beat: BeatFrame): void
  /** The link has become silent; called once each time it does. */
  handleSilent(link: PeerLink): void
  /** A frame after the handshake was malformed; the link is closed. */
  handleMalformed(link: PeerLink, error: AppError): void
}

/** Options of a link. */
export interface PeerLinkOptions extends HandshakeOptions {
  role: LinkRole
  clock: Clock
  /** Returns the current timing, which depends on the number of peers. */
  getTiming(): LinkTiming
  events: LinkEvents
  /** Returns the state of this entry that heartbeats report. */
  describeSelf(): { offset: Offset, isLeaving: boolean }
}

interface FrameStream {
  readFrame(): Promise<Result<unknown, AppError>>
  writeFrame(value: unknown): boolean
  /** Raises the frame limit after the peer has been authenticated. */
  setOpen(): void
}

function createFrameStream (socket: Duplex, counts: LinkCounts): FrameStream {
  const decoder = createFrameDecoder(MAX_HANDSHAKE_FRAME_BYTES)
  const chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  let pendingFrames: unknown[] = []
  const readChunk = async (): Promise<Result<void, AppError>> => {
    try {
      const next = await chunks.next()
      if (next.done) return err(createError('peer-broken', 'the peer closed the link'))
      counts.receivedBytes += next.value.length
      const values = decoder.addChunk(next.value)
      if (values.isErr()) return err(values.error)
      pendingFrames = values.value
      return ok(undefined)
    } catch (cause) {
      return err(createError('peer-broken', describeCause(cause), cause))
    }
  }
  return {
    async readFrame () {
      while (pendingFrames.length === 0) {
        const read = await readChunk()
        if (read.isErr()) return err(read.error)
      }
      counts.receivedFrames += 1
      return ok(pendingFrames.shift())
    },
    writeFrame (value) {
      if (socket.destroyed || socket.writableLength > MAX_BUFFERED_BYTES) return false
      const frame = encodeFrame(value)
      // The peer would reject a larger frame and close the link.
      if (frame.length > MAX_FRAME_BYTES) return false
      counts.sentBytes += frame.length
      counts.sentFrames += 1
      socket.write(frame)
      return true
    },
    setOpen: () => decoder.setMaxFrameBytes(MAX_FRAME_BYTES)
  }
}

/** Tracks the liveness of both directions of a link. */
interface LinkLiveness {
  /** Records that a frame has arrived, and the acknowledgement of a heartbeat. */
  markReceived(beat?: BeatFrame): void
  /** Returns the numbers of the next heartbeat. */
  createHeartbeat(): { seq: number, ack: number }
  /** Returns the time since the last frame or the last acknowledged heartbeat, whichever is longer, in ms. */
  getSilenceMs(): number
}

function createLinkLiveness (clock: Clock, getTiming: () => LinkTiming): LinkLiveness {
  let receivedAtMs = clock.monotonicMs()
  let acknowledgedAtMs = receivedAtMs
  let lastHeartbeatAtMs = receivedAtMs
  let seq = 0
  let receivedSeq = 0
  let acknowledgedSeq = 0
  const MAX_HEARTBEAT_GAP_INTERVALS = 2
  return {
    markReceived (beat) {
      receivedAtMs = clock.monotonicMs()
      if (!beat) return
      receivedSeq = Math.max(receivedSeq, beat.seq)
      // An acknowledgement counts only for a heartbeat that was sent and is newer than the last one acknowledged.
      if (beat.ack <= acknowledgedSeq || beat.ack > seq) return
      acknowledgedSeq = beat.ack
      acknowledgedAtMs = receivedAtMs
    },
    createHeartbeat () {
      const nowMs = clock.monotonicMs()
      // After a pause of this process the link isn't silent: frames that arrived during the pause are still to be read.
      if (nowMs - lastHeartbeatAtMs > MAX_HEARTBEAT_GAP_INTERVALS * getTiming().heartbeatMs) receivedAtMs = acknowledgedAtMs = nowMs
      lastHeartbeatAtMs = nowMs
      seq += 1
      return { seq, ack: receivedSeq }
    },
    getSilenceMs: () => clock.monotonicMs() - Math.min(receivedAtMs, acknowledgedAtMs)
  }
}

/** Flushes the written data, then destroys the socket; after `flushTimeoutMs` at the latest. */
function closeSocket (socket: Duplex, clock: Clock, flushTimeoutMs: number): void {
  if (socket.destroyed) return
  const cancel = clock.startTimer(flushTimeoutMs, () => socket.destroy())
  socket.end(() => {
    cancel()
    socket.destroy()
  })
}

/** Sends heartbeats until the returned function is called. */
function startHeartbeats (link: PeerLink, liveness: LinkLiveness, options: PeerLinkOptions): () => void {
  const { clock, getTiming, events } = options
  let wasSilent = false
  let sentOffset: Offset | undefined
  let cancel = () => {}
  const sendHeartbeat = () => {
    const { offset, isLeaving } = options.describeSelf()
    const beat: BeatFrame = { type: 'beat', ...liveness.createHeartbeat() }
    if (offset !== sentOffset) beat.offset = offset
    if (isLeaving) beat.leaving = true
    if (link.sendFrame(beat)) sentOffset = offset
    const timing = getTiming()
    const isSilent = liveness.getSilenceMs() > timing.silentAfterMs
    if (isSilent && !wasSilent) events.handleSilent(link)
    wasSilent = isSilent
    if (liveness.getSilenceMs() > timing.deadAfterMs) return link.close()
    cancel = clock.startTimer(timing.heartbeatMs, sendHeartbeat)
  }
  sendHeartbeat()
  return () => cancel()
}

/** Reads frames until the link ends, and returns the reason. */
async function handleFrames (link: PeerLink, stream: FrameStream, liveness: LinkLiveness, events: LinkEvents): Promise<AppError> {
  for (;;) {
    const read = await stream.readFrame()
    if (read.isErr() && read.error.kind !== 'frame-malformed') return read.error
    const frame = read.andThen(parseLinkFrame)
    if (frame.isErr()) {
      events.handleMalformed(link, frame.error)
      return frame.error
    }
    if (frame.value.type === 'beat') {
      liveness.markReceived(frame.value)
      events.handleBeat(link, frame.value)
      continue
    }
    liveness.markReceived()
    events.handleFrame(link, frame.value)
  }
}

/** Serves one link from the handshake to its end, and returns the reason of the end. Errors: `peer-refused`, `frame-malformed`, `peer-broken`. */
export async function servePeerLink (socket: Duplex, options: PeerLinkOptions): Promise<AppError> {
  const { clock, getTiming, events, role } = options
  const { handshakeTimeoutMs } = getTiming()
  const counts: LinkCounts = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 }
  // The reader gets errors as well; without a listener they would end the process.
  socket.on('error', () => {})
  const stream = createFrameStream(socket, counts)
  const cancelHandshake = clock.startTimer(handshakeTimeoutMs, () => socket.destroy(new Error('handshake timeout')))
  const handshake = role === 'initiator' ? connectHandshake : answerHandshake
  const peer = await handshake(stream, options)
  cancelHandshake()
  if (peer.isErr()) {
    socket.destroy()
    return peer.error
  }
  stream.setOpen()
  const liveness = createLinkLiveness(clock, getTiming)
  const link: PeerLink = {
    peer: peer.value,
    role,
    openedAtMs: clock.monotonicMs(),
    counts,
    sendFrame: (frame) => stream.writeFrame(frame),
    isSilent: () => liveness.getSilenceMs() > getTiming().silentAfterMs,
    close: () => closeSocket(socket, clock, handshakeTimeoutMs)
  }
  if (!events.handleOpen(link)) {
    link.close()
    return createError('peer-refused', 'a newer incarnation of the peer is known')
  }
  const stopHeartbeats = startHeartbeats(link, liveness, options)
  const ended = await handleFrames(link, stream, liveness, events)
  stopHeartbeats()
  socket.destroy()
  return ended
}
