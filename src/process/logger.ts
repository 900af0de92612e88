/**
 * Logs of the process: one JSON object a line by bunyan, each part with its own fixed prefix.
 */
import bunyan from 'bunyan'
import type { EntryId } from '../types.ts'
import type { LogLevel } from './settings.ts'

/** Extra fields of a log line. */
export type LogFields = Record<string, unknown>

/** The log of one part. Messages are short sentences. */
export interface PartLogger {
  debug(message: string, fields?: LogFields): void
  info(message: string, fields?: LogFields): void
  warn(message: string, fields?: LogFields): void
  error(message: string, fields?: LogFields): void
}

/** The log of the process. */
export interface Logger {
  /** Returns the log of one part; each message begins with `[part]`. */
  forPart(part: string): PartLogger
}

/** How to create a logger. */
export interface LoggerOptions {
  /** The entry that logs. */
  entry: EntryId | string
  /** How much is logged. */
  level: LogLevel
  /** Where lines go; standard output when left out. */
  stream?: NodeJS.WritableStream
}

/** Creates the logger of a process. */
export function createLogger (options: LoggerOptions): Logger {
  const log = bunyan.createLogger({
    name: 'medlarcove',
    entry: options.entry,
    level: options.level,
    stream: options.stream ?? process.stdout,
    serializers: { err: bunyan.stdSerializers.err }
  })
  return {
    forPart (part) {
      const prefix = `[${part}]`
      return {
        debug: (message, fields = {}) => log.debug(fields, `${prefix} ${message}`),
        info: (message, fields = {}) => log.info(fields, `${prefix} ${message}`),
        warn: (message, fields = {}) => log.warn(fields, `${prefix} ${message}`),
        error: (message, fields = {}) => log.error(fields, `${prefix} ${message}`)
      }
    }
  }
}
