/**
 * The interface of the mesh of links between entries, and the messages that they carry.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Cancel, EntryId, ExecutionStatus, Incarnation, Offset, ServiceId, CustomerId, TargetId, ZoneId } from '../../types.ts'
import type { ContractRecord } from '../contracts/contract-state.ts'

/** A non-idempotent request, forwarded to the entry that ranks first for its idempotency key. */
export interface ForwardedRequest {
  customer: CustomerId
  service: ServiceId
  method: string
  /** Path below the service, with the query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** Time left until the caller's deadline, in ms. */
  remainingMs: number
}

/** The response to a forwarded request. */
export interface ForwardedResponse {
  status: number
  headers: Record<string, string>
  body: Uint8Array
  /** Execution status of the request: ran, not run or unknown. */
  fate: ExecutionStatus
}

/** Messages between entries, besides handshake, heartbeats and member facts. */
export type PeerMessage =
  /** Contract records that come directly after `previousOffset`. */
  | { type: 'contract-records', previousOffset: Offset, records: ContractRecord[] }
  /** Requests the contract records from an offset on. */
  | { type: 'contract-pull', from: Offset }
  /** Reports that a target is leaving. */
  | { type: 'target-leaving', customer: CustomerId, service: ServiceId, target: TargetId }
  | { type: 'forward-request', call: number, request: ForwardedRequest }
  | { type: 'forward-answer', call: number, answer: ForwardedResponse }

/** State of an entry as computed by the member table. */
export type PeerState = 'live' | 'suspect' | 'leaving' | 'gone'

/** An entry in the local view. The status page shows all fields. */
export interface PeerView {
  id: EntryId
  incarnation: Incarnation | undefined
  state: PeerState
  zone: ZoneId
  address: string
  /** Port for callers. */
  port: number
  peerPort: number
  /** The highest contract offset that the entry reported as folded; negative before the first report. */
  contractOffset: Offset
  isSelf: boolean
}

/** The links to the other entries. */
export interface PeerMesh {
  /** Lists every known entry, itself included. */
  listPeers(): PeerView[]
  /** Lists the entries that accept work, itself included. */
  listLiveEntries(): EntryId[]
  /** Sends a message if a link is open. Messages may be lost. */
  sendTo(peer: EntryId, message: PeerMessage): void
  broadcast(message: PeerMessage): void
  /** Calls `action` for each message that arrives. */
  watchMessages(action: (from: EntryId, message: PeerMessage) => void): Cancel
  /** Calls `action` whenever the set of live entries changes. */
  watchEntries(action: (live: readonly EntryId[]) => void): Cancel
  /** Forwards a request to a peer. Errors: `peer-unreachable` (never sent), `peer-broken` (may have run). */
  forwardRequest(peer: EntryId, request: ForwardedRequest): Promise<Result<ForwardedResponse, AppError>>
  /** Sets the handler for requests that peers forward. */
  handleForwards(action: (request: ForwardedRequest) => Promise<ForwardedResponse>): void
  /** Sets the contract offset that every heartbeat reports. A lower offset than the present one is ignored. */
  setContractOffset(offset: Offset): void
  /** Announces to all peers that this entry is leaving, which is final. */
  markLeaving(): void
  close(): Promise<void>
}
