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
import { createPartialView } from './partial-view.ts'

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
  /** The start of the stream is not known, and what is known does not settle it. */
  | { kind: 'uncertain', seq: number }

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
  /** Whether the state is the same as that of every reader with the whole stream. */
  isWhole(): boolean
  /** Whether a claim of the key could be granted, as far as the start of the stream is concerned. */
  canGrant(key: KeyHash, windowMs: number): boolean
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
  /** Finds the claim in force if it is the one that the entry speaks of. */
  findOwn(entry: ClaimEntry, writer: string, streamMs: number): HeldClaim | undefined
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
  const find = (key: string, streamMs: number): HeldClaim | undefined => {
    const holder = byKey.get(key)
    return holder && holder.untilMs > streamMs ? holder : undefined
  }
  return {
    find,
    findOwn ({ key, seq }, writer, streamMs) {
      const holder = find(key, streamMs)
      return holder?.writer === writer && holder.seq === seq ? holder : undefined
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

/** From where a stream is read: its first record, a snapshot, or wherever its first kept record stands. */
export type IndexStart = { from: 'first-record' } | { from: 'snapshot', snapshot: IndexSnapshot } | { from: 'middle', largestWindowMs: number }

const EMPTY_SNAPSHOT: IndexSnapshot = { covers: toBrand<Offset>(0), streamMs: 0, claims: [], voids: [] }

/** Creates the state at the place from which a stream is read. */
export function createClaimIndex (start: IndexStart): ClaimIndex {
  const { claims, voids: keptVoids, streamMs: startMs } = start.from === 'snapshot' ? start.snapshot : EMPTY_SNAPSHOT
  const held = createHeldClaims(claims)
  const voids = createVoidMemory(keptVoids)
  let partial = start.from === 'middle' ? createPartialView(start.largestWindowMs) : undefined
  let streamMs = startMs
  let nextSweepMs = 0

  /** Two clocks must both be ahead for a key to be forgotten early. */
  const advanceTime = (writerMs: number, logMs: number): void => {
    streamMs = Math.max(streamMs, Math.min(writerMs, logMs))
    if (streamMs < nextSweepMs) return
    nextSweepMs = streamMs + SWEEP_INTERVAL_MS
    held.dropExpired(streamMs)
    voids.dropExpired(streamMs)
    if (partial?.isSettled(streamMs)) partial = undefined
  }
  const applyClaim = (entry: ClaimEntry & { kind: 'claim' }, writer: string, startMs: number): ClaimDecision => {
    const { seq, key, digest, windowMs } = entry
    if (voids.isVoid(writer, seq, streamMs)) return { kind: 'void', seq }
    const untilMs = startMs + windowMs
    const holder = held.find(key, streamMs)
    const isUncertain = !holder && partial?.canGrant(key, windowMs, streamMs) === false
    if (holder || isUncertain) partial?.addClaim(key, untilMs)
    if (holder) return { kind: 'lost', seq, holder }
    if (isUncertain) return { kind: 'uncertain', seq }
    held.set(key, { writer, seq, digest, untilMs })
    return { kind: 'granted', seq, key: toBrand<KeyHash>(key), windowMs }
  }
  const applyVoid = (entry: ClaimEntry & { kind: 'void' }, writer: string, startMs: number): void => {
    const own = held.findOwn(entry, writer, streamMs)
    if (own?.outcome) return
    if (own) held.drop(entry.key)
    voids.add(writer, entry.seq, startMs + entry.windowMs)
  }
  const applyOutcome = (entry: ClaimEntry & { kind: 'outcome' }, writer: string): void => {
    const own = held.findOwn(entry, writer, streamMs)
    if (own && !own.outcome) held.set(entry.key, { ...own, outcome: buildOwnCopy(entry.outcome) })
  }
  const applyEntry = (entry: ClaimEntry, writer: string, startMs: number): ClaimDecision[] => {
    switch (entry.kind) {
      case 'claim': return [applyClaim(entry, writer, startMs)]
      case 'void': applyVoid(entry, writer, startMs); break
      case 'outcome': applyOutcome(entry, writer); break
    }
    return []
  }
  return {
    applyRecord (record, appendedAtMs) {
      partial?.addRecord(appendedAtMs)
      advanceTime(record.atMs, appendedAtMs)
      if (record.type !== 'claims') return []
      const startMs = Math.max(streamMs, record.atMs, appendedAtMs)
      return record.entries.flatMap((entry) => applyEntry(entry, record.writer, startMs))
    },
    findHolder: (key) => held.find(key, streamMs),
    buildSnapshot: (covers) => ({ covers, streamMs, claims: held.listUnexpired(streamMs), voids: voids.listUnexpired(streamMs) }),
    countKeys: () => held.count(),
    isWhole: () => partial === undefined,
    canGrant: (key, windowMs) => partial?.canGrant(key, windowMs, streamMs) ?? true
  }
}
