/**
 * The command `contract`: checks, publishes and shows contracts.
 */
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { parseArgs } from 'node:util'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createHostClock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { createAuditLog } from '../process/audit/audit-log.ts'
import { publishContract } from '../process/contracts/publish-contract.ts'
import type { PublishedContract } from '../process/contracts/publish-contract.ts'
import { readContractStream } from '../process/contracts/read-contracts.ts'
import type { LogClient } from '../process/log-client.ts'
import { toBrand } from '../types.ts'
import type { CustomerId, Nonce } from '../types.ts'
import { checkContractText } from '../version/contract-check.ts'
import { findVersionInEffect } from '../version/contract-fold.ts'
import type { AcceptedVersion, Schedule } from '../version/contract-fold.ts'
import { decodeText } from '../version/contract-record.ts'
import { formatFaults } from '../version/jsonc.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure, printLine } from './command.ts'
import type { CommandIo } from './command.ts'
import { runWithLog } from './open-log.ts'

const HELP = `Usage: medlarcove contract <command> [options]

Commands:
  check FILE                 Check a contract and list its faults as file:line:column
  publish FILE               Publish a contract and wait until it is accepted or rejected
  show [CUSTOMER]            Show the accepted contracts and which version is in force
  history [CUSTOMER]         List the changes that the log still keeps, with the reason of each rejection

Options:
  --log URL                  Address of the log
  --settings FILE            Take the address of the log from an entry's settings
  --operator NAME            Who publishes (default: the current user)
  --nonce TEXT               Unique name of this change; publishing it again makes no second change
  --timeout-ms NUMBER        How long publish waits for the result, in ms (default 15000)
  --json                     Print one JSON value
  --help                     Print this help

${EXIT_CODES_HELP}`

const AUDIT_TIMEOUT_MS = 3_000

const OPTIONS = {
  log: { type: 'string' },
  settings: { type: 'string' },
  operator: { type: 'string' },
  nonce: { type: 'string' },
  'timeout-ms': { type: 'string' },
  json: { type: 'boolean', default: false },
  help: { type: 'boolean', default: false }
} as const

function parseContractArgs (args: string[]) {
  return parseArgs({ args, options: OPTIONS, allowPositionals: true })
}

type Parsed = ReturnType<typeof parseContractArgs>
type Values = Parsed['values']

function readText (file: string | undefined): Result<{ file: string, text: string }, AppError> {
  if (file === undefined) return err(createError('usage', 'No contract file is given; add its path.'))
  try {
    return ok({ file, text: readFileSync(file, 'utf8') })
  } catch (cause) {
    return err(createError('usage', `${file} cannot be read: ${describeCause(cause)}.`, cause))
  }
}

/** Checks a contract, prints its faults, and returns whether it is valid. */
function printFaults (source: { file: string, text: string }, values: Values, io: CommandIo): boolean {
  const checked = checkContractText(source.text)
  if (checked.isOk()) return true
  if (values.json) printLine(io, JSON.stringify({ valid: false, file: source.file, faults: checked.error }))
  else io.stderr(`${formatFaults(source.file, checked.error)}\n`)
  return false
}

function runCheck (file: string | undefined, values: Values, io: CommandIo): number {
  const source = readText(file)
  if (source.isErr()) return printFailure(io, source.error, values.json)
  if (!printFaults(source.value, values, io)) return EXIT_CODES.invalidFile
  const { customer, version, effectiveAt } = checkContractText(source.value.text)._unsafeUnwrap()
  if (values.json) printLine(io, JSON.stringify({ valid: true, file, customer, version, effectiveAt }))
  else printLine(io, `${file}: valid: ${customer} version ${version}, in force from ${effectiveAt}`)
  return EXIT_CODES.ok
}

function getTimeoutMs (values: Values): number | undefined {
  const timeoutMs = Number(values['timeout-ms'])
  return Number.isFinite(timeoutMs) && timeoutMs > 0 ? timeoutMs : undefined
}

/** Records the change in the audit trail. The contract stays accepted even if that fails. */
async function recordPublished (log: LogClient, { customer, version }: PublishedContract, operator: string): Promise<void> {
  const clock = createHostClock()
  const audit = createAuditLog({ log, clock, entry: 'operator' })
  audit.record({ type: 'contract-published', customer, version, operator })
  await audit.flush(clock.monotonicMs() + AUDIT_TIMEOUT_MS)
}

async function runPublish (file: string | undefined, values: Values, io: CommandIo): Promise<number> {
  const source = readText(file)
  if (source.isErr()) return printFailure(io, source.error, values.json)
  if (!printFaults(source.value, values, io)) return EXIT_CODES.invalidFile
  const operator = values.operator ?? userInfo().username
  return runWithLog(values, io, async (log) => {
    const published = await publishContract({
      log,
      clock: createHostClock(),
      text: source.value.text,
      operator,
      nonce: values.nonce === undefined ? undefined : toBrand<Nonce>(values.nonce),
      timeoutMs: getTimeoutMs(values)
    })
    if (published.isErr()) return printFailure(io, published.error, values.json)
    const { customer, version, offset, isRepeated } = published.value
    if (!isRepeated) await recordPublished(log, published.value, operator)
    if (values.json) printLine(io, JSON.stringify(published.value))
    else printLine(io, `${customer} version ${version} is accepted at offset ${offset}${isRepeated ? '; it was accepted before, nothing was written' : ''}`)
    return EXIT_CODES.ok
  })
}

function describeSchedule (schedule: Schedule, nowMs: number) {
  const inForce = findVersionInEffect(schedule, nowMs)
  return schedule.map((version: AcceptedVersion) => ({
    customer: version.contract.customer,
    version: version.contract.version,
    effectiveAt: version.contract.effectiveAt,
    state: version === inForce ? 'in force' : version.effectiveAtMs > nowMs ? 'scheduled' : 'replaced',
    operator: version.operator,
    offset: version.offset,
    nonce: version.nonce,
    text: decodeText(version.packed).unwrapOr('')
  }))
}

async function runShow (customer: string | undefined, values: Values, io: CommandIo): Promise<number> {
  return runWithLog(values, io, async (log) => {
    const read = await readContractStream(log)
    if (read.isErr()) return printFailure(io, read.error, values.json)
    const { state } = read.value
    if (customer !== undefined && !state.has(toBrand<CustomerId>(customer))) {
      return printFailure(io, createError('unknown-customer', `The log has no contract for ${customer}.`), values.json)
    }
    const nowMs = createHostClock().wallMs()
    const schedules = customer === undefined ? [...state.values()] : [state.get(toBrand<CustomerId>(customer)) ?? []]
    const versions = schedules.flatMap((schedule) => describeSchedule(schedule, nowMs))
    if (values.json) printLine(io, JSON.stringify(versions))
    else for (const line of versions) printLine(io, `${line.customer} version ${line.version}: ${line.state}, from ${line.effectiveAt}, by ${line.operator}, offset ${line.offset}`)
    if (!values.json && customer !== undefined) printLine(io, versions.at(-1)?.text ?? '')
    return EXIT_CODES.ok
  })
}

async function runHistory (customer: string | undefined, values: Values, io: CommandIo): Promise<number> {
  return runWithLog(values, io, async (log) => {
    const changes: object[] = []
    const read = await readContractStream(log, {
      isFromEarliest: true,
      watchResult: (record, checked, { offset }) => {
        const recordCustomer = checked.kind === 'rejected' ? checked.customer : checked.version.contract.customer
        if (customer !== undefined && recordCustomer !== customer) return
        const base = { offset, customer: recordCustomer, operator: record.operator, publishedAt: new Date(record.publishedAtMs).toISOString(), verdict: checked.kind }
        const change = checked.kind === 'rejected' ? { ...base, reason: checked.reason } : { ...base, version: checked.version.contract.version }
        changes.push(change)
        if (values.json) return
        const result = checked.kind === 'rejected' ? `rejected: ${checked.reason}` : `version ${checked.version.contract.version} ${checked.kind}`
        printLine(io, `${base.publishedAt} offset ${offset} ${recordCustomer} by ${record.operator}: ${result}`)
      }
    })
    if (read.isErr()) return printFailure(io, read.error, values.json)
    if (values.json) printLine(io, JSON.stringify(changes))
    return EXIT_CODES.ok
  })
}

/** Runs the command with the arguments that follow its name, and returns its exit code. */
export async function runContract (args: string[], io: CommandIo): Promise<number> {
  let parsed: Parsed
  try {
    parsed = parseContractArgs(args)
  } catch (cause) {
    return printFailure(io, createError('usage', describeCause(cause)), false)
  }
  const { values, positionals: [command, name] } = parsed
  if (values.help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  switch (command) {
    case 'check': return runCheck(name, values, io)
    case 'publish': return runPublish(name, values, io)
    case 'show': return runShow(name, values, io)
    case 'history': return runHistory(name, values, io)
    default: return printFailure(io, createError('usage', command === undefined ? 'No command is given; use check, publish, show or history.' : `Unknown command "${command}"; use check, publish, show or history.`), values.json)
  }
}
