/**
 * Appends checkpoints before retention removes the records that they cover, and votes on the checkpoints of others.
 *
 * Every entry may write checkpoints. A random wait with a second check after it makes duplicates rare; they are harmless.
 */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../../clock.ts'
import type { Offset } from '../../types.ts'
import { hashState, listCarried, toStateSummary } from '../../version/contract-fold.ts'
import type { FoldState } from '../../version/contract-fold.ts'
import { encodeStreamRecord } from '../../version/contract-record.ts'
import type { CarriedVersion, CheckpointRecord } from '../../version/contract-record.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { LogBounds, LogClient } from '../log-client.ts'
import { CONTRACT_STREAM } from './contract-store.ts'
import type { ContractStore } from './contract-store.ts'
import type { CheckpointFinding, ContractIntake } from './contract-intake.ts'

/** Options for a checkpoint writer. */
export interface CheckpointWriterOptions {
  log: LogClient
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  store: ContractStore
  intake: ContractIntake
  /** Identifies this run of the process; never reused. */
  writer: string
  /** Maximum time between checkpoints, in ms; must be below a quarter of the log's retention. */
  everyMs: number
  /** Maximum number of records between checkpoints. */
  everyRecords: number
  /** Maximum random wait before writing or voting, in ms. */
  maxJitterMs: number
  /** Returns a number from 0 to below 1, for jitter. */
  random: () => number
}

/** Writes checkpoints and votes. */
export interface CheckpointWriter {
  /** Writes a checkpoint after a random wait if one is due; resolves when that is done. */
  writeWhenDue(bounds: LogBounds): Promise<void>
  /** Votes on a checkpoint after a random wait, unless another reader has cast the same vote. */
  voteOn(finding: CheckpointFinding, signal: AbortSignal): Promise<void>
}

/** Maximum size of the contract texts in one part, in bytes; well below the maximum record size. */
const MAX_PART_BYTES = 262_144

function splitParts (schedules: readonly CarriedVersion[][]): CarriedVersion[][][] {
  const parts: CarriedVersion[][][] = [[]]
  let size = 0
  for (const schedule of schedules) {
    const bytes = schedule.reduce((sum, { packed }) => sum + packed.length, 0)
    if (size > 0 && size + bytes > MAX_PART_BYTES) {
      parts.push([])
      size = 0
    }
    parts.at(-1)?.push(schedule)
    size += bytes
  }
  return parts
}

/** Builds the records of a checkpoint. */
export function buildCheckpoint (state: FoldState, coversTo: Offset, writer: string, id: string): CheckpointRecord[] {
  const digest = hashState(toStateSummary(state))
  const parts = splitParts(listCarried(state))
  return parts.map((schedules, part) =>
    ({ type: 'checkpoint', v: 1, id, writer, coversTo, part, parts: parts.length, digest, schedules }))
}

/** Returns the age of a checkpoint, in ms: since it was checked, or since it was appended if that is longer. */
function getAgeMs ({ checkpoint, checkedAtMs }: CheckpointFinding, clock: Clock): number {
  const onLogMs = checkpoint.appendedAtMs === undefined ? 0 : clock.wallMs() - checkpoint.appendedAtMs
  return Math.max(clock.monotonicMs() - checkedAtMs, onLogMs)
}

/** Creates a checkpoint writer. */
export function createCheckpointWriter (options: CheckpointWriterOptions): CheckpointWriter {
  const { log, clock, audit, store, intake, writer } = options

  const waitJitter = (signal?: AbortSignal): Promise<void> => clock.wait(options.random() * options.maxJitterMs, signal)

  const isDue = (bounds: LogBounds): boolean => {
    // A checkpoint covers only records that were read from the log itself, up to its end.
    const isUpToDate = intake.getReadOffset() >= bounds.next && intake.getReadOffset() === store.getNextOffset()
    if (store.getState().size === 0 || !isUpToDate) return false
    const newest = intake.getNewestCheckpoint()
    if (!newest) {
      const ageMs = clock.wallMs() - (intake.getFirstAppendedAtMs() ?? clock.wallMs())
      return bounds.earliest > 0 || ageMs >= options.everyMs || store.getNextOffset() >= options.everyRecords
    }
    const first = newest.checkpoint.records[0]?.offset ?? 0
    const isAgedOut = first < bounds.earliest
    return isAgedOut || getAgeMs(newest, clock) >= options.everyMs || store.getNextOffset() - newest.checkpoint.coversTo >= options.everyRecords
  }

  const writeCheckpoint = async (): Promise<void> => {
    const id = randomUUID()
    const coversTo = store.getNextOffset()
    for (const part of buildCheckpoint(store.getState(), coversTo, writer, id)) {
      const appended = await log.append(CONTRACT_STREAM, encodeStreamRecord(part))
      // A part that may have been written counts as written: a missing part makes the checkpoint unusable, not wrong.
      if (appended.isErr() && appended.error.kind === 'log-unavailable') return
    }
    audit.record({ type: 'checkpoint-written', offset: coversTo })
  }

  const appendVote = async ({ checkpoint, isRight }: CheckpointFinding): Promise<void> => {
    const { checkpoints } = intake
    const sameVotes = isRight ? checkpoints.countApprovals(checkpoint.id) - 1 : checkpoints.countRejections(checkpoint.id)
    if (checkpoint.writer === writer || sameVotes > 0) return
    await log.append(CONTRACT_STREAM, encodeStreamRecord({ type: 'checkpoint-vote', v: 1, id: checkpoint.id, writer, isRight }))
  }

  let isApproving = false
  /** Approves only the newest of the checkpoints that were found right during the random wait. */
  const appendApproval = async (signal: AbortSignal): Promise<void> => {
    if (isApproving) return
    isApproving = true
    await waitJitter(signal)
    isApproving = false
    const newest = intake.getNewestCheckpoint()
    if (newest && !signal.aborted) await appendVote(newest)
  }

  return {
    async writeWhenDue (bounds) {
      if (!isDue(bounds)) return
      await waitJitter()
      const latest = await log.readBounds(CONTRACT_STREAM)
      if (latest.isOk() && isDue(latest.value)) await writeCheckpoint()
    },
    async voteOn (finding, signal) {
      if (finding.isRight) return appendApproval(signal)
      await waitJitter(signal)
      if (!signal.aborted) await appendVote(finding)
    }
  }
}
