/**
 * Publishes a contract and reads the result back from the stream.
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
import { MAX_RECORD_BYTES, encodeStreamRecord, encodeText } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import type { Contract } from '../../version/contract.ts'
import type { LogClient, LogRecord } from '../log-client.ts'
import { CONTRACT_STREAM } from './contract-store.ts'
import { foldRecords, readContractStream } from './read-contracts.ts'
import type { StreamPosition, WatchFoldResult } from './read-contracts.ts'

/** Options for publishing. */
export interface PublishOptions {
  log: LogClient
  clock: Clock
  /** The contract text, JSON with comments. */
  text: string
  /** Name of the operator who publishes. */
  operator: string
  /** Identifies this change; publishing with the same nonce again is the same change. Default: a new random one. */
  nonce?: Nonce
  /** Maximum time to append and read the result, in ms. Default 15,000. */
  timeoutMs?: number
}

/** A change that was accepted. */
export interface PublishedContract {
  customer: CustomerId
  version: ContractVersion
  offset: Offset
  nonce: Nonce
  /** True when the same text was accepted before, so that nothing was written. */
  isRepeated: boolean
}

const DEFAULT_TIMEOUT_MS = 15_000
const RETRY_WAIT_MS = 200

/** What the stream has shown about a change so far. */
type PublishStatus =
  | { kind: 'accepted', offset: Offset }
  | { kind: 'rejected', reason: string }
  /** Not read back yet; `mayBeWritten` is false when no append can have taken effect. */
  | { kind: 'open', mayBeWritten: boolean }

function toPublished (version: AcceptedVersion, isRepeated: boolean): PublishedContract {
  const { contract, offset, nonce } = version
  return { customer: contract.customer, version: contract.version, offset, nonce, isRepeated }
}

/** Folds further records and returns the result of the change if it is among them. */
function findStatus (position: StreamPosition, records: readonly LogRecord[], change: PublishRecord): PublishStatus {
  let found: PublishStatus = { kind: 'open', mayBeWritten: true }
  foldRecords(position, records, (record, result) => {
    if (!isSameChange(record, change)) return
    if (result.kind !== 'rejected') found = { kind: 'accepted', offset: result.version.offset }
    else if (found.kind === 'open') found = { kind: 'rejected', reason: result.reason }
  })
  return found
}

/** Checks that the contract is based on the newest accepted version. Errors: `contract-rejected`. */
function checkAgainstHead (contract: Contract, head: AcceptedVersion | undefined): Result<undefined, AppError> {
  const headVersion = head?.contract.version ?? 0
  if (contract.basedOn === headVersion) return ok(undefined)
  const newest = head ? `version ${headVersion} by ${head.operator} is the accepted one` : 'no version is accepted yet'
  return err(createError('contract-rejected', `The contract is based on version ${contract.basedOn}, but ${newest}.`))
}

/** Reads the stream, with retries until the deadline while the log is slow or unavailable. */
async function readUntil ({ log, clock }: PublishOptions, deadlineMs: number, watchResult: WatchFoldResult): Promise<Result<StreamPosition, AppError>> {
  for (;;) {
    const read = await readContractStream(log, { watchResult })
    const isFinal = read.isOk() || read.error.kind === 'log-gap'
    if (isFinal || clock.monotonicMs() >= deadlineMs) return read
    await clock.wait(RETRY_WAIT_MS)
  }
}

/** Appends the record, with retries, until the stream shows the result or the deadline passes. */
async function appendUntilSettled ({ log, clock }: PublishOptions, deadlineMs: number, position: StreamPosition, record: PublishRecord): Promise<PublishStatus> {
  const data = encodeStreamRecord(record)
  let isAppended = false
  let mayBeWritten = false
  while (clock.monotonicMs() < deadlineMs) {
    // A duplicate append is harmless: the fold applies each nonce once.
    if (!isAppended) {
      const appended = await log.append(CONTRACT_STREAM, data)
      isAppended = appended.isOk()
      mayBeWritten ||= appended.isOk() || appended.error.kind !== 'log-unavailable'
    }
    const page = await log.read(CONTRACT_STREAM, position.nextOffset)
    const records = page.isOk() ? page.value.records : []
    const status = findStatus(position, records, record)
    if (status.kind !== 'open') return status
    if (records.length === 0) await clock.wait(RETRY_WAIT_MS)
  }
  return { kind: 'open', mayBeWritten }
}

function toResult (status: PublishStatus, contract: Contract, nonce: Nonce): Result<PublishedContract, AppError> {
  switch (status.kind) {
    case 'accepted': return ok({ customer: contract.customer, version: contract.version, offset: status.offset, nonce, isRepeated: false })
    case 'rejected': return err(createError('contract-rejected', `Rejected: ${status.reason}.`))
    case 'open': return err(!status.mayBeWritten
      ? createError('log-unavailable', 'The log did not accept the contract; nothing was written.')
      : createError('log-unknown', 'The log did not show in time whether the contract was written; publish the same file again to find out.'))
  }
}

/**
 * Publishes a contract. Errors: `contract-invalid`; `contract-rejected` when another change was accepted first;
 * `log-unavailable` when nothing was written; `log-unknown` when the change may still be accepted.
 */
export async function publishContract (options: PublishOptions): Promise<Result<PublishedContract, AppError>> {
  const checked = checkContractText(options.text)
  if (checked.isErr()) return err(createError('contract-invalid', checked.error[0]?.message ?? 'The contract is not valid.'))
  const contract = checked.value
  const packed = encodeText(options.text)
  let acceptedBefore: AcceptedVersion | undefined
  const deadlineMs = options.clock.monotonicMs() + (options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  const read = await readUntil(options, deadlineMs, (record, result) => {
    if (result.kind === 'accepted' && Buffer.compare(record.packed, packed) === 0) acceptedBefore = result.version
  })
  if (read.isErr()) return err(createError('log-unavailable', `Nothing was written: ${read.error.message}`, read.error))
  const position = read.value
  const schedule = position.state.get(contract.customer) ?? []
  acceptedBefore ??= schedule.find((version) => Buffer.compare(version.packed, packed) === 0)
  if (acceptedBefore) return ok(toPublished(acceptedBefore, true))
  const head = schedule.at(-1)
  const basis = checkAgainstHead(contract, head)
  if (basis.isErr()) return err(basis.error)
  const record: PublishRecord = {
    type: 'contract',
    v: 1,
    nonce: options.nonce ?? toBrand<Nonce>(randomUUID()),
    basedOnNonce: head?.nonce ?? '',
    operator: options.operator,
    publishedAtMs: options.clock.wallMs(),
    packed
  }
  if (encodeStreamRecord(record).length > MAX_RECORD_BYTES) {
    return err(createError('contract-invalid', `The contract is larger than ${MAX_RECORD_BYTES} bytes when compressed; list fewer targets.`))
  }
  return toResult(await appendUntilSettled(options, deadlineMs, position, record), contract, record.nonce)
}
