/**
 * The command `audit`: prints the audit trail.
 */
import { parseArgs } from 'node:util'
import { createError, describeCause } from '../errors.ts'
import { AUDIT_STREAM, decodeAuditBatch } from '../process/audit/audit-log.ts'
import type { AuditRecord } from '../process/audit/audit-trail.ts'
import type { LogClient } from '../process/log-client.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure, printLine } from './command.ts'
import type { CommandIo } from './command.ts'
import { runWithLog } from './open-log.ts'

const HELP = `Usage: medlarcove audit [options]

Prints the changes that the system made or detected, oldest first.

Options:
  --log URL            Address of the log
  --settings FILE      Take the address of the log from an entry's settings
  --type TYPE          Only events of this type; may be given more than once
  --customer NAME      Only events of this customer
  --entry ID           Only events that this entry wrote
  --since TIME         Only events at or after this time, such as 2027-01-15T00:00:00+09:00
  --until TIME         Only events before this time
  --json               Print one JSON value for each line
  --help               Print this help

${EXIT_CODES_HELP}`

const OPTIONS = {
  log: { type: 'string' },
  settings: { type: 'string' },
  type: { type: 'string', multiple: true },
  customer: { type: 'string' },
  entry: { type: 'string' },
  since: { type: 'string' },
  until: { type: 'string' },
  json: { type: 'boolean', default: false },
  help: { type: 'boolean', default: false }
} as const

function parseAuditArgs (args: string[]) {
  return parseArgs({ args, options: OPTIONS }).values
}

type Values = ReturnType<typeof parseAuditArgs>
type Filter = (record: AuditRecord) => boolean

function createFilter (values: Values): Filter {
  const sinceMs = values.since === undefined ? -Infinity : Date.parse(values.since)
  const untilMs = values.until === undefined ? Infinity : Date.parse(values.until)
  return ({ atMs, entry, event }) => {
    if (values.type && !values.type.includes(event.type)) return false
    if (values.customer !== undefined && (!('customer' in event) || event.customer !== values.customer)) return false
    if (values.entry !== undefined && entry !== values.entry) return false
    return atMs >= sinceMs && atMs < untilMs
  }
}

function formatRecord ({ atMs, entry, event }: AuditRecord): string {
  const { type, ...fields } = event
  const details = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return [new Date(atMs).toISOString(), entry, type, ...details].join(' ')
}

async function printTrail (log: LogClient, values: Values, io: CommandIo): Promise<number> {
  const isSelected = createFilter(values)
  const bounds = await log.readBounds(AUDIT_STREAM)
  if (bounds.isErr()) return printFailure(io, bounds.error, values.json)
  const seenBatchIds = new Set<string>()
  let from = bounds.value.earliest
  while (from < bounds.value.next) {
    const page = await log.read(AUDIT_STREAM, from)
    if (page.isErr()) return printFailure(io, page.error, values.json)
    for (const { data } of page.value.records) {
      const batch = decodeAuditBatch(data)
      if (!batch || seenBatchIds.has(batch.id)) continue
      seenBatchIds.add(batch.id)
      for (const record of batch.records.filter(isSelected)) printLine(io, values.json ? JSON.stringify(record) : formatRecord(record))
    }
    from = page.value.nextOffset
  }
  return EXIT_CODES.ok
}

/** Runs the command with the arguments that follow its name, and returns its exit code. */
export async function runAudit (args: string[], io: CommandIo): Promise<number> {
  let values: Values
  try {
    values = parseAuditArgs(args)
  } catch (cause) {
    return printFailure(io, createError('usage', describeCause(cause)), false)
  }
  if (values.help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  const invalidTime = [values.since, values.until].find((time) => time !== undefined && Number.isNaN(Date.parse(time)))
  if (invalidTime !== undefined) return printFailure(io, createError('usage', `"${invalidTime}" is not a time; write it as 2027-01-15T00:00:00+09:00.`), values.json)
  return runWithLog(values, io, (log) => printTrail(log, values, io))
}
