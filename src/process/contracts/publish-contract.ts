/**
 * Publishes a contract and learns from the stream itself what became of it.
 */
import { randomUUID } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { ContractVersion, CustomerId, Nonce, Offset } from '../../types.ts'
import { checkContractText } from '../../version/contract-check.ts'
import { isSameChange } from '../../version/contract-fold.ts'
import type { AcceptedVersion } from '../../version/contract-fold.ts'
import { LARGEST_RECORD_BYTES, encodeStreamRecord, encodeText } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import type { Contract } from '../../version/contract.ts'
import type { LogClient, LogRecord } from '../log-client.ts'
import { CONTRACT_STREAM } from './contract-book.ts'
import { foldRecords, readContractStream } from './read-contracts.ts'
import type { StreamPosition, WatchVerdict } from './read-contracts.ts'

/** What publishing needs. */
export interface PublishOptions {
  log: LogClient
  clock: Clock
  /** The contract, JSON with comments. */
  text: string
  /** Who publishes. */
  operator: string
  /** Names this change; the same nonce again is the same change. Default: a new one. */
  nonce?: Nonce
  /** How long to go on trying to learn the result, in ms. */
  timeoutMs?: number
}

/** A change that was accepted. */
export interface PublishedContract {
  customer: CustomerId
  version: ContractVersion
  offset: Offset
  nonce: Nonce
  /** The same text had been accepted before; nothing was written. */
  isRepeated: boolean
}

const DEFAULT_TIMEOUT_MS = 15_000
const RETRY_MS = 200

/** What the stream says about a change so far. */
type Settlement =
  | { kind: 'accepted', offset: Offset }
  | { kind: 'rejected', reason: string }
  /** Not decided yet; `mayBeWritten` is false when no append can have taken effect. */
  | { kind: 'open', mayBeWritten: boolean }

function toPublished (version: AcceptedVersion, isRepeated: boolean): PublishedContract {
  const { contract, offset, nonce } = version
  return { customer: contract.customer, version: contract.version, offset, nonce, isRepeated }
}

/** Folds further records and looks for the change among them. */
function findSettlement (position: StreamPosition, records: readonly LogRecord[], change: PublishRecord): Settlement {
  let found: Settlement = { kind: 'open', mayBeWritten: true }
  foldRecords(position, records, (record, verdict) => {
    if (!isSameChange(record, change)) return
    if (verdict.kind !== 'rejected') found = { kind: 'accepted', offset: verdict.version.offset }
    else if (found.kind === 'open') found = { kind: 'rejected', reason: verdict.reason }
  })
  return found
}

/** Says what to do without writing: nothing, when the text is accepted already, or refuse it when it comes too late. */
function checkAgainstHead (contract: Contract, head: AcceptedVersion | undefined): Result<undefined, AppError> {
  const headVersion = head?.contract.version ?? 0
  if (contract.basedOn === headVersion) return ok(undefined)
  const known = head ? `version ${headVersion} by ${head.operator} is the accepted one` : 'no version is accepted yet'
  return err(createError('contract-rejected', `The contract is based on version ${contract.basedOn}, but ${known}.`))
}

/** Reads the stream, again and again while the log is slow or away. */
async function readUntil ({ log, clock }: PublishOptions, deadlineMs: number, watchVerdict: WatchVerdict): Promise<Result<StreamPosition, AppError>> {
  for (;;) {
    const read = await readContractStream(log, { watchVerdict })
    const isFinal = read.isOk() || read.error.kind === 'log-gap'
    if (isFinal || clock.monotonicMs() >= deadlineMs) return read
    await clock.wait(RETRY_MS)
  }
}

/** Appends until the stream shows what became of the change or the time is up. */
async function settlePublish ({ log, clock }: PublishOptions, deadlineMs: number, position: StreamPosition, record: PublishRecord): Promise<Settlement> {
  const data = encodeStreamRecord(record)
  let isAppended = false
  let mayBeWritten = false
  while (clock.monotonicMs() < deadlineMs) {
    // Appending twice is harmless: the fold takes one nonce once.
    if (!isAppended) {
      const appended = await log.append(CONTRACT_STREAM, data)
      isAppended = appended.isOk()
      mayBeWritten ||= appended.isOk() || appended.error.kind !== 'log-unavailable'
    }
    const page = await log.read(CONTRACT_STREAM, position.nextOffset)
    const records = page.isOk() ? page.value.records : []
    const settlement = findSettlement(position, records, record)
    if (settlement.kind !== 'open') return settlement
    if (records.length === 0) await clock.wait(RETRY_MS)
  }
  return { kind: 'open', mayBeWritten }
}

function toResult (settlement: Settlement, contract: Contract, nonce: Nonce): Result<PublishedContract, AppError> {
  switch (settlement.kind) {
    case 'accepted': return ok({ customer: contract.customer, version: contract.version, offset: settlement.offset, nonce, isRepeated: false })
    case 'rejected': return err(createError('contract-rejected', `Rejected: ${settlement.reason}.`))
    case 'open': return err(!settlement.mayBeWritten
      ? createError('log-unavailable', 'The log took nothing.')
      : createError('log-unknown', 'The log did not show in time whether it took the contract; publish the same file again to learn it.'))
  }
}

/**
 * Publishes a contract. Errors: `contract-invalid`, `contract-rejected` when another change was accepted first,
 * `log-unavailable` when nothing was written, `log-unknown` when the change may still be accepted.
 */
export async function publishContract (options: PublishOptions): Promise<Result<PublishedContract, AppError>> {
  const checked = checkContractText(options.text)
  if (checked.isErr()) return err(createError('contract-invalid', checked.error[0]?.message ?? 'The contract is not valid.'))
  const contract = checked.value
  const packed = encodeText(options.text)
  let earlier: AcceptedVersion | undefined
  const deadlineMs = options.clock.monotonicMs() + (options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  const read = await readUntil(options, deadlineMs, (record, verdict) => {
    if (verdict.kind === 'accepted' && Buffer.compare(record.packed, packed) === 0) earlier = verdict.version
  })
  if (read.isErr()) return err(createError('log-unavailable', `Nothing was written: ${read.error.message}`, read.error))
  const position = read.value
  const schedule = position.state.get(contract.customer) ?? []
  earlier ??= schedule.find((version) => Buffer.compare(version.packed, packed) === 0)
  if (earlier) return ok(toPublished(earlier, true))
  const head = schedule.at(-1)
  const early = checkAgainstHead(contract, head)
  if (early.isErr()) return err(early.error)
  const record: PublishRecord = {
    type: 'contract',
    v: 1,
    nonce: options.nonce ?? toBrand<Nonce>(randomUUID()),
    basedOnNonce: head?.nonce ?? '',
    operator: options.operator,
    publishedAtMs: options.clock.wallMs(),
    packed
  }
  if (encodeStreamRecord(record).length > LARGEST_RECORD_BYTES) {
    return err(createError('contract-invalid', `The contract is larger than ${LARGEST_RECORD_BYTES} bytes when compressed; list fewer targets.`))
  }
  return toResult(await settlePublish(options, deadlineMs, position, record), contract, record.nonce)
}
