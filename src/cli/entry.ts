/**
 * The command `entry`: runs the daemon of one entry host until it receives a signal to stop.
 */
import { createError, describeCause } from '../errors.ts'
import { startEntry } from '../process/entry.ts'
import { readSettings } from '../process/settings.ts'
import type { Settings } from '../process/settings.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'

const HELP = `Usage: medlarcove entry --settings FILE [--check]

Runs the daemon of one entry host. It logs to standard output and stops gracefully on SIGTERM or SIGINT.

  --settings FILE  settings in JSON with comments
  --check          check the settings and exit
  --json           print errors as JSON
  --help           print this text

${EXIT_CODES_HELP}`

/** Runs the daemon until its graceful shutdown is complete. A second signal has no effect. */
async function runDaemon (settings: Settings, io: CommandIo, isJson: boolean): Promise<number> {
  let stopReason: NodeJS.Signals | undefined
  let stop: (reason: string) => void = (reason) => { stopReason = reason as NodeJS.Signals }
  process.on('SIGTERM', (signal) => stop(signal))
  process.on('SIGINT', (signal) => stop(signal))
  try {
    const entry = await startEntry(settings)
    await new Promise<void>((resolve, reject) => {
      stop = (reason) => { entry.stop(reason).then(resolve, reject) }
      if (stopReason) stop(stopReason)
    })
    return EXIT_CODES.ok
  } catch (cause) {
    return printFailure(io, createError('internal', `The entry failed: ${describeCause(cause)}.`, cause), isJson)
  }
}

/** Runs the command and returns its exit code. */
export async function runEntry (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, {
    settings: { type: 'string' },
    check: { type: 'boolean' },
    json: { type: 'boolean' },
    help: { type: 'boolean', short: 'h' }
  })
  if (parsed.isErr()) return printFailure(io, parsed.error, args.includes('--json'))
  const { values } = parsed.value
  const isJson = values.json ?? false
  if (values.help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  if (!values.settings) return printFailure(io, createError('usage', 'No settings file is given; use medlarcove entry --settings FILE.'), isJson)
  const settings = await readSettings(values.settings)
  if (settings.isErr()) return printFailure(io, settings.error, isJson)
  if (values.check) {
    io.stdout(isJson ? `${JSON.stringify({ ok: true, entry: settings.value.entry.id })}\n` : `${values.settings} is correct.\n`)
    return EXIT_CODES.ok
  }
  return runDaemon(settings.value, io, isJson)
}
