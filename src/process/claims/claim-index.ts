/**
 * The state of one claim stream: a pure function of its records in offset order, the same in every reader.
 *
 * A claim is decided at its own place in the stream. It is granted if no earlier granted claim of the key
 * is still in force there; otherwise it is lost for good. A claim leaves force by a void of its own writer
 * or when the time of the stream has passed the end of its window.
 */
import { toBrand } from '../../types.ts'
import type { KeyHash, Offset } from '../../types.ts'
import type { RecordedOutcome } from './claim-book.ts'
import type { ClaimEntry, ClaimRecord, KeptClaim, KeptVoid } from './claim-record.ts'

const SWEEP_INTERVAL_MS = 60_000

/** The claim that is in force for a key. */
export interface HeldClaim {
  readonly writer: string
  readonly seq: number
  readonly digest: string
  /** End of the window, by the time of the stream, in ms since 1970. */
  readonly untilMs: number
  readonly outcome?: RecordedOutcome | undefined
}

/** What a claim came to at its place in the stream. */
export type ClaimDecision =
  | { kind: 'granted', seq: number, key: KeyHash, windowMs: number }
  | { kind: 'lost', seq: number, holder: HeldClaim }
  /** It was void before it came. */
  | { kind: 'void', seq: number }

/** A copy of the state at one offset. */
export interface IndexSnapshot {
  covers: Offset
  streamMs: number
  claims: KeptClaim[]
  voids: KeptVoid[]
}

/** The state of one claim stream. */
export interface ClaimIndex {
  /** Applies a record and returns what its claims came to, in their order. */
  applyRecord(record: ClaimRecord, appendedAtMs: number): ClaimDecision[]
  /** Finds the claim in force for a key. */
  findHolder(key: KeyHash): HeldClaim | undefined
  /** Copies the state; `covers` is the offset that the next record would be read from. */
  buildSnapshot(covers: Offset): IndexSnapshot
  countKeys(): number
  /** The time of the stream, in ms since 1970. */
  getStreamMs(): number
}

/** Copies the body, which is otherwise a view that keeps the whole record in memory. */
function buildOwnCopy ({ status, headers, body }: RecordedOutcome): RecordedOutcome {
  return body ? { status, headers, body: Uint8Array.from(body) } : { status, headers }
}

/** Nonces that are void, remembered for the window of their claim. */
interface VoidMemory {
  isVoid(writer: string, seq: number, streamMs: number): boolean
  add(writer: string, seq: number, untilMs: number): void
  dropExpired(streamMs: number): void
  listUnexpired(streamMs: number): KeptVoid[]
}

function createVoidMemory (kept: readonly KeptVoid[]): VoidMemory {
  const byNonce = new Map<string, KeptVoid>()
  const formatNonce = (writer: string, seq: number): string => `${writer}/${seq}`
  const add = (writer: string, seq: number, untilMs: number): void => {
    byNonce.set(formatNonce(writer, seq), { writer, seq, untilMs })
  }
  for (const { writer, seq, untilMs } of kept) add(writer, seq, untilMs)
  return {
    isVoid: (writer, seq, streamMs) => (byNonce.get(formatNonce(writer, seq))?.untilMs ?? 0) > streamMs,
    add,
    dropExpired (streamMs) {
      for (const [nonce, { untilMs }] of byNonce) if (untilMs <= streamMs) byNonce.delete(nonce)
    },
    listUnexpired: (streamMs) => [...byNonce.values()].filter(({ untilMs }) => untilMs > streamMs)
  }
}

/** Claims in force by key. */
interface HeldClaims {
  find(key: string, streamMs: number): HeldClaim | undefined
  set(key: string, claim: HeldClaim): void
  drop(key: string): void
  dropExpired(streamMs: number): void
  listUnexpired(streamMs: number): KeptClaim[]
  count(): number
}

function createHeldClaims (kept: readonly KeptClaim[]): HeldClaims {
  const byKey = new Map<string, HeldClaim>()
  const writers = new Map<string, string>()
  /** Returns one shared copy of a writer's name, to save memory. */
  const loadWriter = (writer: string): string => {
    const known = writers.get(writer)
    if (known === undefined) writers.set(writer, writer)
    return known ?? writer
  }
  const set = (key: string, { writer, seq, digest, untilMs, outcome }: HeldClaim): void => {
    byKey.set(key, { writer: loadWriter(writer), seq, digest, untilMs, outcome })
  }
  for (const { key, ...claim } of kept) set(key, claim)
  return {
    find (key, streamMs) {
      const holder = byKey.get(key)
      return holder && holder.untilMs > streamMs ? holder : undefined
    },
    set,
    drop: (key) => { byKey.delete(key) },
    dropExpired (streamMs) {
      for (const [key, { untilMs }] of byKey) if (untilMs <= streamMs) byKey.delete(key)
      writers.clear()
    },
    listUnexpired (streamMs) {
      const unexpired: KeptClaim[] = []
      for (const [key, claim] of byKey) if (claim.untilMs > streamMs) unexpired.push({ key, ...claim })
      return unexpired
    },
    count: () => byKey.size
  }
}

/** Creates the state of an empty stream, or of a stream up to a snapshot. */
export function createClaimIndex (snapshot?: IndexSnapshot): ClaimIndex {
  const held = createHeldClaims(snapshot?.claims ?? [])
  const voids = createVoidMemory(snapshot?.voids ?? [])
  let streamMs = snapshot?.streamMs ?? 0
  let nextSweepMs = 0

  /** Two clocks must both be ahead for a key to be forgotten early. */
  const advanceTime = (writerMs: number, logMs: number): void => {
    streamMs = Math.max(streamMs, Math.min(writerMs, logMs))
    if (streamMs < nextSweepMs) return
    nextSweepMs = streamMs + SWEEP_INTERVAL_MS
    held.dropExpired(streamMs)
    voids.dropExpired(streamMs)
  }
  const applyClaim = (entry: ClaimEntry & { kind: 'claim' }, writer: string, startMs: number): ClaimDecision => {
    const { seq, key, digest, windowMs } = entry
    if (voids.isVoid(writer, seq, streamMs)) return { kind: 'void', seq }
    const holder = held.find(key, streamMs)
    if (holder) return { kind: 'lost', seq, holder }
    held.set(key, { writer, seq, digest, untilMs: startMs + windowMs })
    return { kind: 'granted', seq, key: toBrand<KeyHash>(key), windowMs }
  }
  const applyVoid = (entry: ClaimEntry & { kind: 'void' }, writer: string, startMs: number): void => {
    const { seq, key, windowMs } = entry
    const holder = held.find(key, streamMs)
    const isHolder = holder?.writer === writer && holder.seq === seq
    if (isHolder && holder.outcome) return
    if (isHolder) held.drop(key)
    voids.add(writer, seq, startMs + windowMs)
  }
  const applyOutcome = (entry: ClaimEntry & { kind: 'outcome' }, writer: string): void => {
    const holder = held.find(entry.key, streamMs)
    if (holder?.writer !== writer || holder.seq !== entry.seq || holder.outcome) return
    held.set(entry.key, { ...holder, outcome: buildOwnCopy(entry.outcome) })
  }
  return {
    applyRecord (record, appendedAtMs) {
      advanceTime(record.atMs, appendedAtMs)
      if (record.type !== 'claims') return []
      const startMs = Math.max(streamMs, record.atMs, appendedAtMs)
      const decisions: ClaimDecision[] = []
      for (const entry of record.entries) {
        switch (entry.kind) {
          case 'claim': decisions.push(applyClaim(entry, record.writer, startMs)); break
          case 'void': applyVoid(entry, record.writer, startMs); break
          case 'outcome': applyOutcome(entry, record.writer); break
        }
      }
      return decisions
    },
    findHolder: (key) => held.find(key, streamMs),
    buildSnapshot: (covers) => ({ covers, streamMs, claims: held.listUnexpired(streamMs), voids: voids.listUnexpired(streamMs) }),
    countKeys: () => held.count(),
    getStreamMs: () => streamMs
  }
}
