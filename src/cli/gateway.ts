/**
 * The command `gateway`: runs an entry on the users' platform until it is told to stop.
 */
import { createHostClock } from '../clock.ts'
import { createError } from '../errors.ts'
import { BOOT_FILE_VARIABLE, readBootFile } from '../platform/boot-file.ts'
import { startGateway } from '../process/gateway/gateway.ts'
import { createLogger } from '../process/logger.ts'
import { EXIT_CODES, printFailure } from './command.ts'
import type { CommandIo } from './command.ts'

/** Runs the command and returns its exit code. */
export async function runGateway (io: CommandIo): Promise<number> {
  const path = process.env[BOOT_FILE_VARIABLE]
  if (!path) return printFailure(io, createError('settings-invalid', `Set ${BOOT_FILE_VARIABLE} to the path of the boot file.`), false)
  const settings = await readBootFile(path)
  if (settings.isErr()) return printFailure(io, settings.error, false)
  const logger = createLogger({ entry: settings.value.entry, level: 'info' })
  let askedToStop: string | undefined
  let stop: (reason: string) => void = (reason) => { askedToStop = reason }
  process.on('SIGTERM', (signal) => stop(signal))
  process.on('SIGINT', (signal) => stop(signal))
  process.on('SIGHUP', () => logger.forPart('gateway').info('Settings are read again.'))
  const gateway = await startGateway({ settings: settings.value, clock: createHostClock(), logger })
  if (gateway.isErr()) return printFailure(io, gateway.error, false)
  await new Promise<void>((resolve, reject) => {
    stop = (reason) => { gateway.value.stop(reason).then(resolve, reject) }
    if (askedToStop) stop(askedToStop)
  })
  return EXIT_CODES.ok
}
