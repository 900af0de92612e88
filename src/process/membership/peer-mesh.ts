/**
 * The interface of the links between entries.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Cancel, EntryId, Fate, Incarnation, Offset, ServiceId, CustomerId, TargetId, ZoneId } from '../../types.ts'
import type { ContractRecord } from '../contracts/contract-state.ts'
import type { SharedStretch } from '../discovery/topic-follower.ts'

/** A request that may not be repeated, passed to the entry that ranks first for its key. */
export interface ForwardedRequest {
  customer: CustomerId
  service: ServiceId
  method: string
  /** Path below the service, with the query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** How long the caller still waits, in ms. */
  remainingMs: number
}

/** The answer to a forwarded request. */
export interface ForwardedAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
  fate: Fate
}

/** What entries tell each other, besides the link's own handshake and heartbeats. */
export type PeerMessage =
  /** Contract records that follow on from `previousOffset`. */
  | { type: 'contract-records', previousOffset: Offset, records: ContractRecord[] }
  /** Asks for contract records from an offset on. */
  | { type: 'contract-pull', from: Offset }
  /** A target was seen leaving. */
  | { type: 'target-leaving', customer: CustomerId, service: ServiceId, target: TargetId }
  /** What the sender has read of a topic of the platform's store. */
  | { type: 'topic-stretch', stretch: SharedStretch }
  | { type: 'forward-request', call: number, request: ForwardedRequest }
  | { type: 'forward-answer', call: number, answer: ForwardedAnswer }

/** How an entry is known to be. */
export type PeerState = 'live' | 'suspect' | 'leaving' | 'gone'

/** An entry, as known here. */
export interface PeerView {
  id: EntryId
  incarnation: Incarnation | undefined
  state: PeerState
  zone: ZoneId
  address: string
  /** Port for callers. */
  port: number
  peerPort: number
  /** The highest contract offset that it is known to have folded. */
  contractOffset: Offset
  /** Whether it says that it has more work than it can do in time. */
  isBusy: boolean
  isSelf: boolean
}

/** The links to the other entries. */
export interface PeerMesh {
  /** Lists every known entry, itself included. */
  listPeers(): PeerView[]
  /** Lists the entries that take work, itself included. */
  listLiveEntries(): EntryId[]
  /** Sends a message when the link is up; messages may be lost. */
  sendTo(peer: EntryId, message: PeerMessage): void
  broadcast(message: PeerMessage): void
  /** Calls `action` for each message that arrives. */
  watchMessages(action: (from: EntryId, message: PeerMessage) => void): Cancel
  /** Calls `action` whenever the set of live entries changes. */
  watchEntries(action: (live: readonly EntryId[]) => void): Cancel
  /** Passes a request on. Errors: `peer-unreachable` (never sent), `peer-broken` (may have run). */
  forwardRequest(peer: EntryId, request: ForwardedRequest): Promise<Result<ForwardedAnswer, AppError>>
  /** Answers requests that peers pass on. */
  handleForwards(action: (request: ForwardedRequest) => Promise<ForwardedAnswer>): void
  /** Says on every heartbeat how far this entry has folded the contract stream. */
  setContractOffset(offset: Offset): void
  /** Says on every heartbeat whether this entry has more work than it can do in time. */
  setBusy(isBusy: boolean): void
  /** Tells all peers that this entry leaves for good. */
  markLeaving(): void
  close(): Promise<void>
}
