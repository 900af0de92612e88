/**
 * Appends checkpoints before the records that they cover age out, and votes on the checkpoints of others.
 *
 * Every entry may write one. A random pause and a second look make duplicates rare; they are harmless.
 */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../../clock.ts'
import type { Offset } from '../../types.ts'
import { hashState, listCarried, toMarkedState } from '../../version/contract-fold.ts'
import type { FoldState } from '../../version/contract-fold.ts'
import { encodeStreamRecord } from '../../version/contract-record.ts'
import type { CarriedVersion, CheckpointRecord } from '../../version/contract-record.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { LogBounds, LogClient } from '../log-client.ts'
import { CONTRACT_STREAM } from './contract-book.ts'
import type { ContractBook } from './contract-book.ts'
import type { CheckpointFinding, ContractIntake } from './contract-intake.ts'

/** What the writer needs. */
export interface CheckpointWriterOptions {
  log: LogClient
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
  book: ContractBook
  intake: ContractIntake
  /** Names this process; a later run of the same host has another name. */
  writer: string
  /** The longest time between two checkpoints, in ms; below a quarter of the log's retention. */
  everyMs: number
  /** The most records between two checkpoints. */
  everyRecords: number
  /** The longest random pause before writing or voting, in ms. */
  jitterMs: number
  /** Gives numbers from 0 up to 1. */
  random: () => number
}

/** Writes checkpoints and votes. */
export interface CheckpointWriter {
  /** Looks whether a checkpoint is due and writes it after a random pause; resolves when that is done. */
  writeWhenDue(bounds: LogBounds): Promise<void>
  /** Votes on a checkpoint after a random pause, unless another reader has said the same. */
  voteOn(finding: CheckpointFinding, signal: AbortSignal): Promise<void>
}

/** Bytes of texts in one part; well below the largest record. */
const LARGEST_PART_BYTES = 262_144

function splitParts (schedules: readonly CarriedVersion[][]): CarriedVersion[][][] {
  const parts: CarriedVersion[][][] = [[]]
  let size = 0
  for (const schedule of schedules) {
    const bytes = schedule.reduce((sum, { packed }) => sum + packed.length, 0)
    if (size > 0 && size + bytes > LARGEST_PART_BYTES) {
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
  const digest = hashState(toMarkedState(state))
  const parts = splitParts(listCarried(state))
  return parts.map((schedules, part) =>
    ({ type: 'checkpoint', v: 1, id, writer, coversTo, part, parts: parts.length, digest, schedules }))
}

/** Returns how old a checkpoint is, in ms; its age on the log counts when it was there before this process. */
function getAgeMs ({ checkpoint, foundAtMs }: CheckpointFinding, clock: Clock): number {
  const onLogMs = checkpoint.appendedAtMs === undefined ? 0 : clock.wallMs() - checkpoint.appendedAtMs
  return Math.max(clock.monotonicMs() - foundAtMs, onLogMs)
}

/** Creates a writer. */
export function createCheckpointWriter (options: CheckpointWriterOptions): CheckpointWriter {
  const { log, clock, audit, book, intake, writer } = options

  const waitRandomly = (signal?: AbortSignal): Promise<void> => clock.wait(options.random() * options.jitterMs, signal)

  const isDue = (bounds: LogBounds): boolean => {
    // Only what has been read from the log itself, to its end, is vouched for.
    const isUpToDate = intake.getReadOffset() >= bounds.next && intake.getReadOffset() === book.getNextOffset()
    if (book.getState().size === 0 || !isUpToDate) return false
    const newest = intake.getNewestCheckpoint()
    if (!newest) {
      const ageMs = clock.wallMs() - (intake.getFirstAppendedAtMs() ?? clock.wallMs())
      return bounds.earliest > 0 || ageMs >= options.everyMs || book.getNextOffset() >= options.everyRecords
    }
    const first = newest.checkpoint.records[0]?.offset ?? 0
    const isAgedOut = first < bounds.earliest
    return isAgedOut || getAgeMs(newest, clock) >= options.everyMs || book.getNextOffset() - newest.checkpoint.coversTo >= options.everyRecords
  }

  const writeCheckpoint = async (): Promise<void> => {
    const id = randomUUID()
    const coversTo = book.getNextOffset()
    for (const part of buildCheckpoint(book.getState(), coversTo, writer, id)) {
      const appended = await log.append(CONTRACT_STREAM, encodeStreamRecord(part))
      // A part that may have been taken counts as taken: a missing one makes the checkpoint useless, not wrong.
      if (appended.isErr() && appended.error.kind === 'log-unavailable') return
    }
    audit.record({ type: 'checkpoint-written', offset: coversTo })
  }

  const appendVote = async ({ checkpoint, isRight }: CheckpointFinding): Promise<void> => {
    const { checkpoints } = intake
    const said = isRight ? checkpoints.countRight(checkpoint.id) - 1 : checkpoints.countWrong(checkpoint.id)
    if (checkpoint.writer === writer || said > 0) return
    await log.append(CONTRACT_STREAM, encodeStreamRecord({ type: 'checkpoint-vote', v: 1, id: checkpoint.id, writer, isRight }))
  }

  let isConfirming = false
  /** Confirms the newest of the checkpoints that were found right during the pause. */
  const appendConfirmation = async (signal: AbortSignal): Promise<void> => {
    if (isConfirming) return
    isConfirming = true
    await waitRandomly(signal)
    isConfirming = false
    const newest = intake.getNewestCheckpoint()
    if (newest && !signal.aborted) await appendVote(newest)
  }

  return {
    async writeWhenDue (bounds) {
      if (!isDue(bounds)) return
      await waitRandomly()
      const latest = await log.readBounds(CONTRACT_STREAM)
      if (latest.isOk() && isDue(latest.value)) await writeCheckpoint()
    },
    async voteOn (finding, signal) {
      if (finding.isRight) return appendConfirmation(signal)
      await waitRandomly(signal)
      if (!signal.aborted) await appendVote(finding)
    }
  }
}
