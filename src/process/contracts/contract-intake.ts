/**
 * Applies records of the contract stream, from the log and from peers, to the contract store of this process.
 */
import type { Clock } from '../../clock.ts'
import { toBrand } from '../../types.ts'
import type { Offset } from '../../types.ts'
import { buildState, hasCarriedState } from '../../version/contract-fold.ts'
import { decodeStreamRecord, hashBytes } from '../../version/contract-record.ts'
import type { CheckpointRecord, StreamRecord } from '../../version/contract-record.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { LogPage } from '../log-client.ts'
import { createCheckpointSet } from './checkpoint-set.ts'
import type { Checkpoint, CheckpointSet } from './checkpoint-set.ts'
import { CONTRACT_STREAM } from './contract-store.ts'
import type { ContractStore } from './contract-store.ts'
import type { LoadedContracts } from './contract-loader.ts'
import type { ContractRecord } from './contract-state.ts'
import { createContractTail } from './contract-tail.ts'
import type { ContractTail } from './contract-tail.ts'
import { createUnverifiedRecords } from './unverified-records.ts'
import type { UnverifiedRecords } from './unverified-records.ts'

/** The result of checking a checkpoint. */
export interface CheckpointFinding {
  checkpoint: Checkpoint
  /** Whether the checkpoint equals the state that this process has folded. */
  isRight: boolean
  /** When it was checked, in ms of the monotonic clock. */
  checkedAtMs: number
}

/** Options for an intake. */
export interface ContractIntakeOptions {
  store: ContractStore
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
}

/** Applies records from the log and from peers. */
export interface ContractIntake {
  /** Applies a page read from `getReadOffset`; returns false when it differs from records received from peers. */
  addPage(page: LogPage): boolean
  /** Applies a peer's records from `previousOffset` on, if every record below it has been folded; returns how many were new. */
  addPeerRecords(previousOffset: Offset, records: readonly ContractRecord[]): number
  /** Returns the next offset to read from the log; every record below it has been read from the log. */
  getReadOffset(): Offset
  /** Continues at the next offset without verifying peer records, because retention has removed them from the log. */
  skipVerifying(): void
  /** Replaces the state with one loaded from the log. `canGoBack` is true when the present state contradicts the log. */
  replaceState(loaded: LoadedContracts, canGoBack: boolean): void
  /** Lists the records from an offset on for a peer that is behind. */
  listRecords(from: Offset): ContractRecord[]
  /** Returns the newest checkpoint that this process found right or started from. */
  getNewestCheckpoint(): CheckpointFinding | undefined
  /** Returns when the first record read from the log was appended to it, in ms since 1970. */
  getFirstAppendedAtMs(): number | undefined
  /** Returns whether other readers have rejected the checkpoint that this process started from. */
  isStartRejected(): boolean
  /** Calls `action` with the result for each checkpoint that this process can check against its own state. */
  watchFindings(action: (finding: CheckpointFinding) => void): void
  checkpoints: CheckpointSet
}

interface IntakeState {
  store: ContractStore
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  tail: ContractTail
  unverified: UnverifiedRecords
  checkpoints: CheckpointSet
  newest: CheckpointFinding | undefined
  /** The checkpoint that this process started from, if any. */
  start: Checkpoint | undefined
  /** When the first record read from the log was appended to it, in ms since 1970. */
  firstAppendedAtMs: number | undefined
  watchers: ((finding: CheckpointFinding) => void)[]
}

/** Compares a checkpoint with the state at the offset that it covers, if this process has folded that state from records. */
function verifyCheckpoint (intake: IntakeState, checkpoint: Checkpoint): void {
  const { store, audit, tail, clock, start } = intake
  const state = store.getStateAt(checkpoint.coversTo)
  if (!state || (start && checkpoint.coversTo <= start.coversTo)) return
  const isRight = hasCarriedState(state, checkpoint.schedules, checkpoint.digest)
  const finding: CheckpointFinding = { checkpoint, isRight, checkedAtMs: clock.monotonicMs() }
  if (isRight) {
    tail.setBase(checkpoint)
    store.dropHistory(checkpoint.coversTo)
    intake.newest = finding
  } else {
    audit.record({ type: 'checkpoint-refused', offset: checkpoint.coversTo, reason: `checkpoint ${checkpoint.id} by ${checkpoint.writer} differs from the records` })
  }
  for (const notify of intake.watchers) notify(finding)
}

function applyStreamRecord (intake: IntakeState, record: StreamRecord, source: ContractRecord): void {
  switch (record.type) {
    case 'contract':
      intake.store.foldRecord(record, source.offset)
      break
    case 'checkpoint': {
      const checkpoint = intake.checkpoints.addPart(record, source)
      if (!checkpoint) break
      verifyCheckpoint(intake, checkpoint)
      intake.checkpoints.dropContent(checkpoint.id)
      break
    }
    case 'checkpoint-vote':
      intake.checkpoints.addVote(record)
  }
}

function applyRecord (intake: IntakeState, source: ContractRecord): void {
  const { offset, data } = source
  // Copied, because the original is a view that keeps the whole page in memory.
  intake.tail.addRecord({ offset, data: Uint8Array.from(data) })
  const decoded = decodeStreamRecord(data)
  if (decoded.isOk()) applyStreamRecord(intake, decoded.value, source)
  else intake.audit.record({ type: 'record-skipped', stream: CONTRACT_STREAM, offset, reason: decoded.error })
  intake.store.advanceTo(toBrand<Offset>(offset + 1))
}

function addPage (intake: IntakeState, page: LogPage): boolean {
  const { store, unverified, audit } = intake
  const difference = unverified.verifyPage(page, store.getNextOffset())
  if (difference !== undefined) {
    audit.record({ type: 'peer-records-refused', offset: difference, reason: 'the log holds another record at this offset' })
    return false
  }
  intake.firstAppendedAtMs ??= page.records[0]?.appendedAtMs
  for (const record of page.records) if (record.offset >= store.getNextOffset()) applyRecord(intake, record)
  store.advanceTo(page.nextOffset)
  return true
}

function startFrom (intake: IntakeState, { checkpoint, state, nextOffset }: LoadedContracts): void {
  const { store, tail, clock } = intake
  store.replaceState(state, nextOffset)
  tail.reset(nextOffset)
  intake.start = checkpoint
  intake.newest = checkpoint && { checkpoint, isRight: true, checkedAtMs: clock.monotonicMs() }
  if (checkpoint) tail.setBase(checkpoint)
}

function parseCheckpointPart ({ data }: ContractRecord): CheckpointRecord | undefined {
  const decoded = decodeStreamRecord(data)
  return decoded.isOk() && decoded.value.type === 'checkpoint' ? decoded.value : undefined
}

/** Returns whether a state is, for every customer, at least as new as the store's. */
export function hasAllVersions (store: ContractStore, state: LoadedContracts['state']): boolean {
  return [...store.getState()].every(([customer, schedule]) =>
    (state.get(customer)?.at(-1)?.contract.version ?? 0) >= (schedule.at(-1)?.contract.version ?? 0))
}

/**
 * Starts from the checkpoint parts at the head of a peer's records if they cover more than this process has folded.
 * Returns the number of these parts: 0 when the records do not begin with such a checkpoint; undefined when the
 * checkpoint is incomplete or unusable.
 */
function addLeadingCheckpoint (intake: IntakeState, peerCheckpoints: CheckpointSet, records: readonly ContractRecord[]): number | undefined {
  const { store, unverified } = intake
  let count = 0
  for (const record of records) {
    const part = parseCheckpointPart(record)
    if (!part || part.coversTo <= store.getNextOffset()) return count === 0 ? 0 : undefined
    count += 1
    const checkpoint = peerCheckpoints.addPart(part, record)
    if (!checkpoint) continue
    const state = buildState(checkpoint.schedules, checkpoint.digest)
    if (state.isErr() || !hasAllVersions(store, state.value)) return undefined
    startFrom(intake, { state: state.value, nextOffset: checkpoint.coversTo, checkpoint })
    unverified.reset(checkpoint.coversTo)
    for (const source of checkpoint.records) unverified.addRecord(source)
    return count
  }
  return count === 0 ? 0 : undefined
}

/** Returns the offset of the first record that this process has with different bytes. */
function findContradiction ({ tail }: IntakeState, records: readonly ContractRecord[]): Offset | undefined {
  return records.find(({ offset, data }) => {
    const own = tail.findRecord(offset)
    return own !== undefined && hashBytes(own.data) !== hashBytes(data)
  })?.offset
}

function addPeerRecords (intake: IntakeState, peerCheckpoints: CheckpointSet, previousOffset: Offset, records: readonly ContractRecord[]): number {
  const { store, audit, unverified } = intake
  if (previousOffset > store.getNextOffset()) return 0
  const contradiction = findContradiction(intake, records)
  if (contradiction !== undefined) {
    audit.record({ type: 'peer-records-refused', offset: contradiction, reason: 'this entry holds another record at this offset' })
    return 0
  }
  const leading = addLeadingCheckpoint(intake, peerCheckpoints, records)
  if (leading === undefined) return 0
  let added = leading
  for (const record of records.slice(leading)) {
    if (record.offset < store.getNextOffset()) continue
    unverified.addRecord(record)
    applyRecord(intake, record)
    added += 1
  }
  return added
}

/** Creates an intake into a contract store. */
export function createContractIntake (options: ContractIntakeOptions): ContractIntake {
  const intake: IntakeState = {
    ...options,
    tail: createContractTail(),
    unverified: createUnverifiedRecords(),
    checkpoints: createCheckpointSet(),
    newest: undefined,
    start: undefined,
    firstAppendedAtMs: undefined,
    watchers: []
  }
  const peerCheckpoints = createCheckpointSet()
  return {
    addPage: (page) => addPage(intake, page),
    addPeerRecords: (previousOffset, records) => addPeerRecords(intake, peerCheckpoints, previousOffset, records),
    getReadOffset: () => intake.unverified.getVerifiedOffset(),
    skipVerifying: () => intake.unverified.reset(intake.store.getNextOffset()),
    replaceState (loaded, canGoBack) {
      startFrom(intake, loaded)
      intake.unverified.reset(loaded.nextOffset)
      if (canGoBack) intake.store.inEffect.dropUnknown()
    },
    listRecords: (from) => intake.tail.listRecords(from),
    getNewestCheckpoint: () => intake.newest,
    getFirstAppendedAtMs: () => intake.firstAppendedAtMs,
    isStartRejected () {
      const { start, checkpoints } = intake
      return start !== undefined && checkpoints.countRejections(start.id) >= Math.max(1, checkpoints.countApprovals(start.id))
    },
    watchFindings: (action) => { intake.watchers.push(action) },
    checkpoints: intake.checkpoints
  }
}
