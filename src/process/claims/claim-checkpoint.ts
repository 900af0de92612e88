/**
 * Writes checkpoints: the state of a claim stream, appended to the stream itself before retention removes its records.
 * Every process may write one. Duplicate checkpoints are harmless, and jitter keeps them rare.
 */
import type { IndexSnapshot } from './claim-index.ts'
import { encodeClaimRecord } from './claim-record.ts'
import type { CheckpointRecord, ClaimRecord, SnapshotClaim, SnapshotTombstone } from './claim-record.ts'
import type { ClaimStreamOptions } from './claim-stream.ts'

const CHECKS_PER_INTERVAL = 10
const MAX_JITTER_SHARE = 0.2
const REQUEST_JITTER_MS = 500
const MAX_PART_BYTES = 131_072
const MAX_PART_CLAIMS = 1_000
/** Estimated encoded size of one claim or tombstone, without its response. */
const CLAIM_BYTES = 220
const MAX_OPEN_CHECKPOINTS = 20
const MAX_ATTEMPTS_PER_PART = 5
const RETRY_WAIT_MS = 200

/** Options for a checkpoint writer. */
export interface CheckpointWriterOptions extends ClaimStreamOptions {
  /** Minimum time between checkpoints, in ms. */
  checkpointIntervalMs: number
  /** Copies the state; undefined while it is incomplete. */
  takeSnapshot: () => IndexSnapshot | undefined
}

/** Writes the checkpoints of one stream. */
export interface CheckpointWriter {
  /** Handles a checkpoint or a checkpoint request that was read from the stream. */
  handleRecord(record: ClaimRecord): void
  /** Requests a checkpoint from the other processes; the record also advances the stream time. */
  requestCheckpoint(): Promise<void>
  /** Counts the checkpoints that this process has written completely. */
  countWritten(): number
  close(): void
}

interface Part { claims: SnapshotClaim[], voids: SnapshotTombstone[] }

/** Splits a snapshot into parts that each fit into a record. */
function splitSnapshot (snapshot: IndexSnapshot): Part[] {
  const parts: Part[] = [{ claims: [], voids: [] }]
  let bytes = 0
  const choosePart = (addedBytes: number): Part => {
    const last = parts.at(-1)!
    const isFull = bytes + addedBytes > MAX_PART_BYTES || last.claims.length + last.voids.length >= MAX_PART_CLAIMS
    bytes = isFull ? addedBytes : bytes + addedBytes
    if (isFull) parts.push({ claims: [], voids: [] })
    return parts.at(-1)!
  }
  for (const claim of snapshot.claims) {
    const headerBytes = claim.outcome ? JSON.stringify(claim.outcome.headers).length * 2 : 0
    choosePart(CLAIM_BYTES + headerBytes + (claim.outcome?.body?.length ?? 0)).claims.push(claim)
  }
  for (const tombstone of snapshot.voids) choosePart(CLAIM_BYTES).voids.push(tombstone)
  return parts
}

function buildParts (snapshot: IndexSnapshot, writer: string, id: string, atMs: number): CheckpointRecord[] {
  const { covers, streamMs } = snapshot
  const parts = splitSnapshot(snapshot)
  const shared = { type: 'checkpoint' as const, v: 1 as const, writer, atMs, id, parts: parts.length, covers, streamMs }
  return parts.map((part, number) => ({ ...shared, part: number, ...part }))
}

/** Appends a record with a few retries; a duplicate record is harmless. */
async function appendWithRetry (options: CheckpointWriterOptions, record: ClaimRecord, signal: AbortSignal): Promise<boolean> {
  const { log, clock, stream, pacer, random } = options
  const data = encodeClaimRecord(record)
  for (let attempt = 0; attempt < MAX_ATTEMPTS_PER_PART && !signal.aborted; attempt++) {
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
  const progress = { lastCheckpointMs: 0, written: 0, hasRequestTimer: false }
  let writing: Promise<void> | undefined

  const writeSnapshot = async (snapshot: IndexSnapshot): Promise<void> => {
    const parts = buildParts(snapshot, writer, `${writer}/${buildSeq()}`, Math.floor(clock.wallMs()))
    let isComplete = true
    for (const part of parts) isComplete = isComplete && await appendWithRetry(options, part, stop.signal)
    if (isComplete) progress.written += 1
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
      const dueMs = progress.lastCheckpointMs + checkpointIntervalMs * (1 + random() * MAX_JITTER_SHARE)
      if (clock.wallMs() >= dueMs) startCheckpoint()
      if (!stop.signal.aborted) startTimer()
    })
    stop.signal.addEventListener('abort', cancel, { once: true })
  }
  startTimer()

  /** Records a part; returns true when all parts of its checkpoint have been seen. */
  const addPart = ({ id, part, parts }: CheckpointRecord): boolean => {
    const seen = seenParts.get(id) ?? new Set<number>()
    seenParts.set(id, seen.add(part))
    const [oldest] = seenParts.keys()
    if (seenParts.size > MAX_OPEN_CHECKPOINTS && oldest !== undefined) seenParts.delete(oldest)
    return seen.size === parts && seenParts.delete(id)
  }
  const handleRequest = (): void => {
    if (progress.hasRequestTimer) return
    progress.hasRequestTimer = true
    const seenAtMs = progress.lastCheckpointMs
    clock.startTimer(random() * REQUEST_JITTER_MS, () => {
      progress.hasRequestTimer = false
      if (progress.lastCheckpointMs === seenAtMs) startCheckpoint()
    })
  }
  return {
    handleRecord (record) {
      if (record.type === 'checkpoint-wanted' && record.writer !== writer) handleRequest()
      if (record.type !== 'checkpoint' || !addPart(record)) return
      progress.lastCheckpointMs = Math.max(progress.lastCheckpointMs, Math.min(record.atMs, clock.wallMs()))
    },
    async requestCheckpoint () {
      await log.append(stream, encodeClaimRecord({ type: 'checkpoint-wanted', v: 1, writer, atMs: Math.floor(clock.wallMs()) }))
    },
    countWritten: () => progress.written,
    close: () => stop.abort()
  }
}
