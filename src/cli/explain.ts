/**
 * The command `explain`: explains what happened to one request, from the logs of gateways.
 */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'

const HELP = `Usage: medlarcove explain ID [FILE...]

Explains what happened to the request with the attempt id ID: each attempt with the values that decided it, the end, and
what its entry logged shortly before about the same targets, the store and itself. Reads logs from the files, or from
standard input.

  --json  print the lines found as JSON
  --help  print this text

${EXIT_CODES_HELP}`

/** How long before the end of the request a line of the same entry counts as related, in ms. */
const RELATED_LINES_MS = 5_000
const MAX_RELATED_LINES = 20

const attemptSchema = z.object({
  target: z.string(),
  by: z.string(),
  waitedMs: z.number(),
  expectedMs: z.number(),
  load: z.string(),
  loadAgeMs: z.number().optional(),
  atMs: z.number(),
  end: z.string(),
  status: z.number().optional()
})
const lineSchema = z.looseObject({ entry: z.string(), time: z.string(), msg: z.string() })
const requestSchema = lineSchema.extend({
  id: z.string(),
  route: z.string(),
  service: z.string(),
  version: z.number(),
  leftMs: z.number(),
  tookMs: z.number(),
  attempts: z.array(attemptSchema),
  status: z.number().optional(),
  end: z.string().optional(),
  error: z.string().optional(),
  detail: z.string().optional(),
  standsFor: z.number()
})

type LogLine = z.infer<typeof lineSchema>
type RequestLine = z.infer<typeof requestSchema>

/** Parses the lines of a log. Text before the JSON of a line is ignored, and so are lines without JSON of this program. */
export function parseLogLines (log: string): LogLine[] {
  return log.split('\n').flatMap((line) => {
    const at = line.indexOf('{"name":"medlarcove"')
    if (at < 0) return []
    try {
      const parsed = lineSchema.safeParse(JSON.parse(line.slice(at)))
      return parsed.success ? [parsed.data] : []
    } catch {
      // The last line of a log may be incomplete.
      return []
    }
  })
}

function isRelated (line: LogLine, request: RequestLine): boolean {
  const beforeMs = Date.parse(request.time) - Date.parse(line.time)
  if (line.entry !== request.entry || beforeMs < 0 || beforeMs > RELATED_LINES_MS || line.msg.startsWith('[request]')) return false
  if (!line.msg.startsWith('[gateway]') || !('target' in line)) return true
  return request.attempts.some(({ target }) => target === line.target)
}

function formatAttempt (attempt: RequestLine['attempts'][number], index: number): string {
  const age = attempt.loadAgeMs === undefined ? '' : `, ${attempt.loadAgeMs} ms old`
  const status = attempt.status === undefined ? '' : ` with status ${attempt.status}`
  return `  attempt ${index + 1}, ${attempt.atMs} ms after its start: target ${attempt.target} (chosen: ${attempt.by}; load ${attempt.load}${age}; ` +
    `expected ${attempt.expectedMs} ms; waited ${attempt.waitedMs} ms): ${attempt.end}${status}`
}

function formatRequest (request: RequestLine): string[] {
  const { id, entry, route, service, version, leftMs, tookMs, attempts, status, end, error, detail } = request
  const response = status === undefined ? 'no response' : `status ${status}`
  return [
    `${request.time} request ${id} at ${entry}: route ${route}, service ${service}, configuration ${version}, ${leftMs} ms left`,
    ...(attempts.length === 0 ? ['  no target was tried'] : attempts.map(formatAttempt)),
    `  after ${tookMs} ms: ${response}${error ? ` for ${error}` : ''}${detail ? ` (${detail})` : ''}; end of the response: ${end ?? 'none'}`
  ]
}

function formatRelated (line: LogLine): string {
  const { entry, time, msg, name, hostname, pid, level, v, ...fields } = line
  return `  ${time} ${msg} ${JSON.stringify(fields)}`
}

/** Explains a request from log lines. Errors: `usage` when no line has its id. */
export function explainRequest (id: string, lines: readonly LogLine[]): Result<string, AppError> {
  const requests = lines.flatMap((line) => {
    const parsed = requestSchema.safeParse(line)
    return parsed.success && parsed.data.id === id ? [parsed.data] : []
  })
  if (requests.length === 0) return err(createError('usage', `No log line has the request id ${id}. Lines of answered requests are sampled: one with "standsFor" above 1 stands for others.`))
  const explanation = requests.flatMap((request) => {
    const related = lines.filter((line) => isRelated(line, request)).slice(-MAX_RELATED_LINES)
    return [...formatRequest(request), ...(related.length > 0 ? ['  logged by this entry before:'] : []), ...related.map((line) => `  ${formatRelated(line)}`)]
  })
  return ok(`${explanation.join('\n')}\n`)
}

async function readLogs (files: readonly string[]): Promise<Result<string, AppError>> {
  try {
    if (files.length === 0) return ok(await text(process.stdin))
    const logs = await Promise.all(files.map((file) => readFile(file, 'utf8')))
    return ok(logs.join('\n'))
  } catch (cause) {
    return err(createError('usage', `A log file cannot be read: ${describeCause(cause)}`, cause))
  }
}

/** Runs the command and returns its exit code. */
export async function runExplain (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, { json: { type: 'boolean', default: false }, help: { type: 'boolean', short: 'h' } })
  if (parsed.isErr()) return printFailure(io, parsed.error, args.includes('--json'))
  const { values: { json, help }, positionals: [id, ...files] } = parsed.value
  if (help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  if (!id) return printFailure(io, createError('usage', 'No request id is given; use medlarcove explain ID [FILE...].'), json)
  const logs = await readLogs(files)
  if (logs.isErr()) return printFailure(io, logs.error, json)
  const lines = parseLogLines(logs.value)
  const explanation = explainRequest(id, lines)
  if (explanation.isErr()) return printFailure(io, explanation.error, json)
  io.stdout(json ? `${JSON.stringify(lines.filter((line) => line.id === id))}\n` : explanation.value)
  return EXIT_CODES.ok
}
