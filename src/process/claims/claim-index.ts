/**
 * The state of one claim stream: a pure function of its records in offset order, identical in every reader whose state
 * is complete.
 *
 * A claim is decided at its own offset, and the decision never changes. It is void if its tombstone came first, granted
 * if no earlier granted claim of the key is still in effect at that offset, and otherwise lost. A claim stops being in
 * effect when its own writer appends a tombstone before a response is stored, or when the stream time reaches the end of
 * its window.
 */
import { toBrand } from '../../types.ts'
import type { KeyHash, Offset } from '../../types.ts'
import type { StoredResponse } from './claim-store.ts'
import type { ClaimEntry, ClaimRecord, SnapshotClaim, SnapshotTombstone } from './claim-record.ts'
import { createPartialView } from './partial-view.ts'

const SWEEP_INTERVAL_MS = 60_000

/** The claim that is in effect for a key. */
export interface ActiveClaim {
  readonly writer: string
  readonly seq: number
  readonly digest: string
  /** End of the claim window in stream time, in ms since 1970. */
  readonly untilMs: number
  /** The stored response, once one has been read. */
  readonly outcome?: StoredResponse | undefined
}

/** The decision on a claim at its offset. */
export type ClaimDecision =
  | { kind: 'granted', seq: number, key: KeyHash, windowMs: number }
  | { kind: 'lost', seq: number, holder: ActiveClaim }
  /** Its tombstone came before it in the stream. */
  | { kind: 'void', seq: number }
  /** The stream was not read from its first record, and an unread or uncertain claim of the key may be in effect. */
  | { kind: 'uncertain', seq: number }

/** A copy of the state at one offset. */
export interface IndexSnapshot {
  /** All records below this offset are folded into the snapshot. */
  covers: Offset
  /** Stream time at that offset, in ms since 1970. */
  streamMs: number
  /** Claims in effect. */
  claims: SnapshotClaim[]
  /** Tombstones that have not expired. */
  voids: SnapshotTombstone[]
}

/** The state of one claim stream. */
export interface ClaimIndex {
  /** Applies a record and returns the decisions on its claims, in order. `appendedAtMs` is the log's time of the append. */
  applyRecord(record: ClaimRecord, appendedAtMs: number): ClaimDecision[]
  /** Finds the claim in effect for a key. */
  findHolder(key: KeyHash): ActiveClaim | undefined
  /** Copies the state; `covers` is the offset of the next record to read. */
  buildSnapshot(covers: Offset): IndexSnapshot
  countKeys(): number
  /** Returns whether the state equals that of a reader that read the stream from its first record. */
  isComplete(): boolean
  /** Returns false while an unread or uncertain claim of the key may be in effect. */
  canGrant(key: KeyHash, windowMs: number): boolean
}

/** Copies the body, because the decoded one is a view that keeps the whole record in memory. */
function buildResponseCopy ({ status, headers, body }: StoredResponse): StoredResponse {
  return body ? { status, headers, body: Uint8Array.from(body) } : { status, headers }
}

/** Tombstones by nonce, kept for the window of their claim. */
interface TombstoneSet {
  hasTombstone(writer: string, seq: number, streamMs: number): boolean
  add(writer: string, seq: number, untilMs: number): void
  dropExpired(streamMs: number): void
  listUnexpired(streamMs: number): SnapshotTombstone[]
}

function createTombstoneSet (kept: readonly SnapshotTombstone[]): TombstoneSet {
  const byNonce = new Map<string, SnapshotTombstone>()
  const formatNonce = (writer: string, seq: number): string => `${writer}/${seq}`
  const add = (writer: string, seq: number, untilMs: number): void => {
    byNonce.set(formatNonce(writer, seq), { writer, seq, untilMs })
  }
  for (const { writer, seq, untilMs } of kept) add(writer, seq, untilMs)
  return {
    hasTombstone: (writer, seq, streamMs) => (byNonce.get(formatNonce(writer, seq))?.untilMs ?? 0) > streamMs,
    add,
    dropExpired (streamMs) {
      for (const [nonce, { untilMs }] of byNonce) if (untilMs <= streamMs) byNonce.delete(nonce)
    },
    listUnexpired: (streamMs) => [...byNonce.values()].filter(({ untilMs }) => untilMs > streamMs)
  }
}

/** Claims in effect, by key. */
interface ActiveClaims {
  find(key: string, streamMs: number): ActiveClaim | undefined
  /** Finds the claim in effect if the entry refers to it: same writer and sequence number. */
  findOwn(entry: ClaimEntry, writer: string, streamMs: number): ActiveClaim | undefined
  set(key: string, claim: ActiveClaim): void
  drop(key: string): void
  dropExpired(streamMs: number): void
  listUnexpired(streamMs: number): SnapshotClaim[]
  count(): number
}

function createActiveClaims (kept: readonly SnapshotClaim[]): ActiveClaims {
  const byKey = new Map<string, ActiveClaim>()
  const writers = new Map<string, string>()
  /** Returns one shared string for each writer's name, to save memory. */
  const loadWriter = (writer: string): string => {
    const known = writers.get(writer)
    if (known === undefined) writers.set(writer, writer)
    return known ?? writer
  }
  const set = (key: string, { writer, seq, digest, untilMs, outcome }: ActiveClaim): void => {
    byKey.set(key, { writer: loadWriter(writer), seq, digest, untilMs, outcome })
  }
  for (const { key, ...claim } of kept) set(key, claim)
  const find = (key: string, streamMs: number): ActiveClaim | undefined => {
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
      const unexpired: SnapshotClaim[] = []
      for (const [key, claim] of byKey) if (claim.untilMs > streamMs) unexpired.push({ key, ...claim })
      return unexpired
    },
    count: () => byKey.size
  }
}

/** Where reading starts: at the first record, at a snapshot, or at the earliest record that the log still has. */
export type IndexStart = { from: 'first-record' } | { from: 'snapshot', snapshot: IndexSnapshot } | { from: 'middle', maxWindowMs: number }

const EMPTY_SNAPSHOT: IndexSnapshot = { covers: toBrand<Offset>(0), streamMs: 0, claims: [], voids: [] }

/** Creates the state for the given start. */
export function createClaimIndex (start: IndexStart): ClaimIndex {
  const { claims, voids: keptTombstones, streamMs: initialStreamMs } = start.from === 'snapshot' ? start.snapshot : EMPTY_SNAPSHOT
  const active = createActiveClaims(claims)
  const tombstones = createTombstoneSet(keptTombstones)
  let partial = start.from === 'middle' ? createPartialView(start.maxWindowMs) : undefined
  let streamMs = initialStreamMs
  let nextSweepMs = 0

  /** Advances the stream time to the earlier of the writer's and the log's time, so that one fast clock alone never expires a claim early. */
  const advanceTime = (writerMs: number, logMs: number): void => {
    streamMs = Math.max(streamMs, Math.min(writerMs, logMs))
    if (streamMs < nextSweepMs) return
    nextSweepMs = streamMs + SWEEP_INTERVAL_MS
    active.dropExpired(streamMs)
    tombstones.dropExpired(streamMs)
    if (partial?.isSettled(streamMs)) partial = undefined
  }
  const applyClaim = (entry: ClaimEntry & { kind: 'claim' }, writer: string, startMs: number): ClaimDecision => {
    const { seq, key, digest, windowMs } = entry
    if (tombstones.hasTombstone(writer, seq, streamMs)) return { kind: 'void', seq }
    const untilMs = startMs + windowMs
    const holder = active.find(key, streamMs)
    const isUncertain = !holder && partial?.canGrant(key, windowMs, streamMs) === false
    if (holder || isUncertain) partial?.addClaim(key, untilMs)
    if (holder) return { kind: 'lost', seq, holder }
    if (isUncertain) return { kind: 'uncertain', seq }
    active.set(key, { writer, seq, digest, untilMs })
    return { kind: 'granted', seq, key: toBrand<KeyHash>(key), windowMs }
  }
  const applyTombstone = (entry: ClaimEntry & { kind: 'void' }, writer: string, startMs: number): void => {
    const own = active.findOwn(entry, writer, streamMs)
    if (own?.outcome) return
    if (own) active.drop(entry.key)
    tombstones.add(writer, entry.seq, startMs + entry.windowMs)
  }
  const applyResponse = (entry: ClaimEntry & { kind: 'outcome' }, writer: string): void => {
    const own = active.findOwn(entry, writer, streamMs)
    if (own && !own.outcome) active.set(entry.key, { ...own, outcome: buildResponseCopy(entry.outcome) })
  }
  const applyEntry = (entry: ClaimEntry, writer: string, startMs: number): ClaimDecision[] => {
    switch (entry.kind) {
      case 'claim': return [applyClaim(entry, writer, startMs)]
      case 'void': applyTombstone(entry, writer, startMs); break
      case 'outcome': applyResponse(entry, writer); break
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
    findHolder: (key) => active.find(key, streamMs),
    buildSnapshot: (covers) => ({ covers, streamMs, claims: active.listUnexpired(streamMs), voids: tombstones.listUnexpired(streamMs) }),
    countKeys: () => active.count(),
    isComplete: () => partial === undefined,
    canGrant: (key, windowMs) => partial?.canGrant(key, windowMs, streamMs) ?? true
  }
}
