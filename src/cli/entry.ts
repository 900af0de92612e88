/**
 * The command `entry`: runs the daemon of one entry host until it is told to stop.
 */
import { createError } from '../errors.ts'
import { readSettings } from '../process/settings.ts'
import type { Settings } from '../process/settings.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, reportError } from './command.ts'
import type { CommandIo } from './command.ts'

const HELP = `Usage: medlarcove entry --settings FILE [--check]

Runs the daemon of one entry host. It logs to standard output and stops gracefully on SIGTERM or SIGINT.

  --settings FILE  settings in JSON with comments
  --check          check the settings and end
  --json           print errors as JSON
  --help           print this text

${EXIT_CODES_HELP}`

/** Starts the daemon; the placeholder stands until the daemon does. */
async function startEntry (settings: Settings): Promise<number> {
  return reportError(createError('internal', `Entry ${settings.entry.id} has no daemon yet.`), { stdout: () => {}, stderr: (text) => process.stderr.write(text) }, false)
}

/** Runs the command and returns its exit code. */
export async function runEntry (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, {
    settings: { type: 'string' },
    check: { type: 'boolean' },
    json: { type: 'boolean' },
    help: { type: 'boolean', short: 'h' }
  })
  if (parsed.isErr()) return reportError(parsed.error, io, args.includes('--json'))
  const { values } = parsed.value
  const isJson = values.json ?? false
  if (values.help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  if (!values.settings) return reportError(createError('usage', 'Name the settings: medlarcove entry --settings FILE'), io, isJson)
  const settings = await readSettings(values.settings)
  if (settings.isErr()) return reportError(settings.error, io, isJson)
  if (values.check) {
    io.stdout(isJson ? `${JSON.stringify({ ok: true, entry: settings.value.entry.id })}\n` : `${values.settings} is correct.\n`)
    return EXIT_CODES.ok
  }
  return startEntry(settings.value)
}
