/**
 * The command `gateway`: runs an entry on the users' platform until it receives a signal to stop.
 */
import { stat } from 'node:fs/promises'
import type { Result } from 'neverthrow'
import { createHostClock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { BOOT_FILE_VARIABLE, readBootFile } from '../platform/boot-file.ts'
import { startGateway } from '../process/gateway/gateway.ts'
import type { Gateway } from '../process/gateway/gateway.ts'
import type { GatewaySettings } from '../process/gateway/gateway-settings.ts'
import { createLogOutput } from '../process/log-output.ts'
import { createLogger } from '../process/logger.ts'
import type { PartLogger } from '../process/logger.ts'
import type { Cancel } from '../types.ts'
import { parseArguments } from './arguments.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'

const HELP = `Usage: medlarcove gateway [--settings FILE]

Runs an entry on the users' platform. The variable ${BOOT_FILE_VARIABLE} names its boot file. It logs to standard output,
reads the boot file and the settings again on SIGHUP and when they change, and stops gracefully on SIGTERM or SIGINT.

  --settings FILE  the operator's settings, JSON with comments; invalid ones are logged, and change nothing
  --check          check the boot file and the settings, and exit
  --help           print this text

${EXIT_CODES_HELP}`

/** Options of the command. */
const OPTIONS = { settings: { type: 'string' }, check: { type: 'boolean' }, help: { type: 'boolean' } } as const

/** The interval between checks of the files, which may change without a signal, in ms. */
const FILE_CHECK_MS = 2_000

/** Returns when the file was last modified, in ms since 1970; logs a warning and returns undefined when it is not accessible. */
async function readModifiedTime (path: string, log: PartLogger): Promise<number | undefined> {
  try {
    return (await stat(path)).mtimeMs
  } catch (cause) {
    log.warn('A settings file is not accessible; the settings stay in effect.', { path, error: describeCause(cause) })
    return undefined
  }
}

/** Reloads a file on SIGHUP and when it changes, until the returned function is called. */
function watchFile (path: string, reloadFile: () => Promise<void>, log: PartLogger): Cancel {
  let knownModifiedMs: number | undefined
  const reload = (): void => {
    reloadFile().catch((cause: unknown) => log.error('Reloading the settings failed.', { path, error: describeCause(cause) }))
  }
  const checkFile = async (): Promise<void> => {
    const modifiedMs = await readModifiedTime(path, log)
    if (modifiedMs !== undefined && knownModifiedMs !== undefined && modifiedMs !== knownModifiedMs) reload()
    knownModifiedMs = modifiedMs ?? knownModifiedMs
  }
  const check = (): void => {
    checkFile().catch((cause: unknown) => log.error('Checking a settings file for changes failed.', { path, error: describeCause(cause) }))
  }
  process.on('SIGHUP', reload)
  check()
  const timer = setInterval(check, FILE_CHECK_MS)
  return () => clearInterval(timer)
}

/** Reads a file again and applies it. Logs an error and keeps the old settings when it is invalid. */
async function reloadFrom<T> (read: () => Promise<Result<T, AppError>>, apply: (settings: T) => void, log: PartLogger): Promise<void> {
  const settings = await read()
  if (settings.isOk()) apply(settings.value)
  else log.error('The changed settings are wrong; the old ones stay in effect.', { error: settings.error.message })
}

/** Reads the operator's settings. The code for it is loaded now, since a start without them does not need it. */
async function readOperatorSettings (file: string): Promise<Result<GatewaySettings, AppError>> {
  const { readGatewaySettings } = await import('../process/gateway/gateway-settings.ts')
  return readGatewaySettings(file)
}

/** Reads the operator's settings after the start, which does not wait for them, and watches their file; without a file, does nothing. */
function watchOperatorSettings (file: string | undefined, gateway: Gateway, log: PartLogger): Cancel {
  if (file === undefined) return () => undefined
  readOperatorSettings(file).then(
    (settings) => settings.match(gateway.applySettings, ({ message }) => log.error('The settings are wrong; the gateway runs without them.', { error: message })),
    (cause: unknown) => log.error('Reading the settings failed.', { path: file, error: describeCause(cause) })
  )
  return watchFile(file, () => reloadFrom(() => readOperatorSettings(file), gateway.applySettings, log), log)
}

/** Checks both files and returns the exit code. */
async function checkFiles (bootFile: string, settingsFile: string | undefined, io: CommandIo): Promise<number> {
  const settings = settingsFile === undefined ? undefined : await readOperatorSettings(settingsFile)
  if (settings?.isErr()) return printFailure(io, settings.error, false)
  for (const file of [bootFile, settingsFile]) if (file !== undefined) io.stdout(`${file} is correct.\n`)
  return EXIT_CODES.ok
}

/** Runs the command and returns its exit code. */
export async function runGateway (args: string[], io: CommandIo): Promise<number> {
  const parsed = parseArguments(args, OPTIONS)
  if (parsed.isErr()) return printFailure(io, parsed.error, false)
  if (parsed.value.values.help) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  const settingsFile = parsed.value.values.settings
  const path = process.env[BOOT_FILE_VARIABLE]
  if (!path) return printFailure(io, createError('settings-invalid', `${BOOT_FILE_VARIABLE} is not set; set it to the path of the boot file.`), false)
  const settings = await readBootFile(path)
  if (settings.isErr()) return printFailure(io, settings.error, false)
  if (parsed.value.values.check) return checkFiles(path, settingsFile, io)
  const { stream, countDropped, flush } = createLogOutput()
  const logger = createLogger({ entry: settings.value.entry, level: 'info', stream })
  let stopReason: string | undefined
  let stop: (reason: string) => void = (reason) => { stopReason = reason }
  process.on('SIGTERM', (signal) => stop(signal))
  process.on('SIGINT', (signal) => stop(signal))
  // Without a handler, SIGHUP would end the process while it starts.
  process.on('SIGHUP', () => undefined)
  const gateway = await startGateway({ settings: settings.value, clock: createHostClock(), logger, countDroppedLines: countDropped })
  if (gateway.isErr()) return printFailure(io, gateway.error, false)
  const log = logger.forPart('gateway')
  const stopWatching = watchFile(path, () => reloadFrom(() => readBootFile(path), gateway.value.reload, log), log)
  const stopWatchingOperator = watchOperatorSettings(settingsFile, gateway.value, log)
  await new Promise<void>((resolve, reject) => {
    stop = (reason) => { gateway.value.stop(reason).then(resolve, reject) }
    if (stopReason) stop(stopReason)
  })
  stopWatching()
  stopWatchingOperator()
  flush()
  return EXIT_CODES.ok
}
