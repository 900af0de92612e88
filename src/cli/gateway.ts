/**
 * The command `gateway`: runs an entry on the users' platform until it receives a signal to stop.
 */
import { stat } from 'node:fs/promises'
import { createHostClock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import { BOOT_FILE_VARIABLE, readBootFile } from '../platform/boot-file.ts'
import { startGateway } from '../process/gateway/gateway.ts'
import type { Gateway } from '../process/gateway/gateway.ts'
import { createLogOutput } from '../process/log-output.ts'
import { createLogger } from '../process/logger.ts'
import type { PartLogger } from '../process/logger.ts'
import type { Cancel } from '../types.ts'
import { EXIT_CODES, EXIT_CODES_HELP, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'

const HELP = `Usage: medlarcove gateway

Runs an entry on the users' platform. The variable ${BOOT_FILE_VARIABLE} names its boot file. It logs to standard output,
reads the boot file again on SIGHUP and when the file changes, and stops gracefully on SIGTERM or SIGINT.

  --check  check the boot file and exit
  --help   print this text

${EXIT_CODES_HELP}`

/** The interval between checks of the boot file, which may change without a signal, in ms. */
const FILE_CHECK_MS = 2_000

/** Reads the boot file again and applies it. Logs an error and keeps the old settings when it is invalid. */
async function reloadSettings (path: string, gateway: Gateway, log: PartLogger): Promise<void> {
  const settings = await readBootFile(path)
  if (settings.isOk()) gateway.reload(settings.value)
  else log.error('The changed settings are wrong; the old ones stay in effect.', { error: settings.error.message })
}

/** Returns when the file was last modified, in ms since 1970; logs a warning and returns undefined when it is not accessible. */
async function readModifiedTime (path: string, log: PartLogger): Promise<number | undefined> {
  try {
    return (await stat(path)).mtimeMs
  } catch (cause) {
    log.warn('The settings file is not accessible; the settings stay in effect.', { error: describeCause(cause) })
    return undefined
  }
}

/** Reloads the settings on SIGHUP and when the file changes, until the returned function is called. */
function watchSettings (path: string, gateway: Gateway, log: PartLogger): Cancel {
  let knownModifiedMs: number | undefined
  const reload = (): void => {
    reloadSettings(path, gateway, log).catch((cause: unknown) => log.error('Reloading the settings failed.', { error: describeCause(cause) }))
  }
  const checkFile = async (): Promise<void> => {
    const modifiedMs = await readModifiedTime(path, log)
    if (modifiedMs !== undefined && knownModifiedMs !== undefined && modifiedMs !== knownModifiedMs) reload()
    knownModifiedMs = modifiedMs ?? knownModifiedMs
  }
  const check = (): void => {
    checkFile().catch((cause: unknown) => log.error('Checking the settings file for changes failed.', { error: describeCause(cause) }))
  }
  process.on('SIGHUP', reload)
  check()
  const timer = setInterval(check, FILE_CHECK_MS)
  return () => clearInterval(timer)
}

/** Runs the command and returns its exit code. */
export async function runGateway (args: string[], io: CommandIo): Promise<number> {
  if (args.includes('--help')) {
    io.stdout(HELP)
    return EXIT_CODES.ok
  }
  const path = process.env[BOOT_FILE_VARIABLE]
  if (!path) return printFailure(io, createError('settings-invalid', `${BOOT_FILE_VARIABLE} is not set; set it to the path of the boot file.`), false)
  const settings = await readBootFile(path)
  if (settings.isErr()) return printFailure(io, settings.error, false)
  if (args.includes('--check')) {
    io.stdout(`${path} is correct.\n`)
    return EXIT_CODES.ok
  }
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
  const stopWatching = watchSettings(path, gateway.value, logger.forPart('gateway'))
  await new Promise<void>((resolve, reject) => {
    stop = (reason) => { gateway.value.stop(reason).then(resolve, reject) }
    if (stopReason) stop(stopReason)
  })
  stopWatching()
  flush()
  return EXIT_CODES.ok
}
