/**
 * Writes the state of a claim stream to the stream itself before its records age out.
 * Every process may do so; more than one checkpoint does no harm, and jitter keeps that rare.
 */
import type { IndexSnapshot } from './claim-index.ts'
import { encodeClaimRecord } from './claim-record.ts'
import type { CheckpointRecord, ClaimRecord, KeptClaim, KeptVoid } from './claim-record.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'

const CHECKS_PER_INTERVAL = 10
const LARGEST_JITTER_SHARE = 0.2
const ANSWER_JITTER_MS = 500
const PART_BYTES = 131_072
const PART_CLAIMS = 1_000
const CLAIM_BYTES = 220
const LARGEST_OPEN_CHECKPOINTS = 20
const TRIES_PER_PART = 5
const RETRY_WAIT_MS = 200

/** Options of a checkpoint writer. */
export interface CheckpointWriterOptions extends ClaimStreamOptions {
  checkpointIntervalMs: number
  /** Copies the state; undefined while it is not known in full. */
  takeSnapshot: () => IndexSnapshot | undefined
}

/** Writes checkpoints of one stream. */
export interface CheckpointWriter {
  /** Takes notice of a record of the stream that is not a batch of claims. */
  handleRecord(record: ClaimRecord): void
  /** Asks the other processes for a checkpoint; the record also moves the time of the stream. */
  requestCheckpoint(): Promise<void>
  countWritten(): number
  close(): void
}

interface Part { claims: KeptClaim[], voids: KeptVoid[] }

/** Splits a snapshot into parts that each fit into a record. */
function splitSnapshot (snapshot: IndexSnapshot): Part[] {
  const parts: Part[] = [{ claims: [], voids: [] }]
  let bytes = 0
  const openPart = (addedBytes: number): Part => {
    const last = parts.at(-1)!
    const isFull = bytes + addedBytes > PART_BYTES || last.claims.length + last.voids.length >= PART_CLAIMS
    bytes = isFull ? addedBytes : bytes + addedBytes
    if (isFull) parts.push({ claims: [], voids: [] })
    return parts.at(-1)!
  }
  for (const claim of snapshot.claims) {
    const headerBytes = claim.outcome ? JSON.stringify(claim.outcome.headers).length * 2 : 0
    openPart(CLAIM_BYTES + headerBytes + (claim.outcome?.body?.length ?? 0)).claims.push(claim)
  }
  for (const kept of snapshot.voids) openPart(CLAIM_BYTES).voids.push(kept)
  return parts
}

function buildParts (snapshot: IndexSnapshot, writer: string, id: string, atMs: number): CheckpointRecord[] {
  const { covers, streamMs } = snapshot
  const parts = splitSnapshot(snapshot)
  const shared = { type: 'checkpoint' as const, v: 1 as const, writer, atMs, id, parts: parts.length, covers, streamMs }
  return parts.map((part, number) => ({ ...shared, part: number, ...part }))
}

/** Appends a record, trying again a few times; a record that stands twice does no harm. */
async function appendWithRetry (options: CheckpointWriterOptions, record: ClaimRecord, signal: AbortSignal): Promise<boolean> {
  const { log, clock, stream, pacer, random } = options
  const data = encodeClaimRecord(record)
  for (let attempt = 0; attempt < TRIES_PER_PART && !signal.aborted; attempt++) {
    await pacer.takeTurn()
    const result = await log.append(stream, data)
    if (result.isOk()) return true
    await clock.wait(RETRY_WAIT_MS * (attempt + random()), signal)
  }
  return false
}

/** Creates a checkpoint writer and starts its timer. */
export function createCheckpointWriter (options: CheckpointWriterOptions): CheckpointWriter {
  const { log, clock, stream, writer, random, buildSeq, checkpointIntervalMs, takeSnapshot } = options
  const seenParts = new Map<string, Set<number>>()
  const stop = new AbortController()
  const progress = { lastWallMs: 0, written: 0, hasAnswerTimer: false }
  let writing: Promise<void> | undefined

  const writeSnapshot = async (snapshot: IndexSnapshot): Promise<void> => {
    const parts = buildParts(snapshot, writer, `${writer}/${buildSeq()}`, Math.floor(clock.wallMs()))
    let isWhole = true
    for (const part of parts) isWhole = isWhole && await appendWithRetry(options, part, stop.signal)
    if (isWhole) progress.written += 1
    writing = undefined
  }
  const startCheckpoint = (): void => {
    const snapshot = takeSnapshot()
    if (snapshot && snapshot.covers > 0 && !stop.signal.aborted) writing ??= writeSnapshot(snapshot)
  }
  const startTimer = (): void => {
    const checkMs = checkpointIntervalMs / CHECKS_PER_INTERVAL * (1 + random())
    const cancel = clock.startTimer(checkMs, () => {
      stop.signal.removeEventListener('abort', cancel)
      const dueMs = progress.lastWallMs + checkpointIntervalMs * (1 + random() * LARGEST_JITTER_SHARE)
      if (clock.wallMs() >= dueMs) startCheckpoint()
      if (!stop.signal.aborted) startTimer()
    })
    stop.signal.addEventListener('abort', cancel, { once: true })
  }
  startTimer()

  /** Notes a part; returns true when all parts of its checkpoint have been seen. */
  const addPart = ({ id, part, parts }: CheckpointRecord): boolean => {
    const seen = seenParts.get(id) ?? new Set<number>()
    seenParts.set(id, seen.add(part))
    const [oldest] = seenParts.keys()
    if (seenParts.size > LARGEST_OPEN_CHECKPOINTS && oldest !== undefined) seenParts.delete(oldest)
    return seen.size === parts && seenParts.delete(id)
  }
  const answerRequest = (): void => {
    if (progress.hasAnswerTimer) return
    progress.hasAnswerTimer = true
    const seenAtMs = progress.lastWallMs
    clock.startTimer(random() * ANSWER_JITTER_MS, () => {
      progress.hasAnswerTimer = false
      if (progress.lastWallMs === seenAtMs) startCheckpoint()
    })
  }
  return {
    handleRecord (record) {
      if (record.type === 'checkpoint-wanted' && record.writer !== writer) answerRequest()
      if (record.type !== 'checkpoint' || !addPart(record)) return
      progress.lastWallMs = Math.max(progress.lastWallMs, Math.min(record.atMs, clock.wallMs()))
    },
    async requestCheckpoint () {
      await log.append(stream, encodeClaimRecord({ type: 'checkpoint-wanted', v: 1, writer, atMs: Math.floor(clock.wallMs()) }))
    },
    countWritten: () => progress.written,
    close: () => stop.abort()
  }
}
