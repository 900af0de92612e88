/**
 * The logger of the process: one JSON object per line, written by bunyan; the messages of each part have a fixed prefix.
 */
import bunyan from 'bunyan'
import type { EntryId } from '../types.ts'
import type { LogLevel } from './settings.ts'

/** Additional fields of a log line. */
export type LogFields = Record<string, unknown>

/** The logger of one part. Messages are short sentences. */
export interface PartLogger {
  debug(message: string, fields?: LogFields): void
  info(message: string, fields?: LogFields): void
  warn(message: string, fields?: LogFields): void
  error(message: string, fields?: LogFields): void
}

/** The logger of the process. */
export interface Logger {
  /** Returns the logger of one part; each message begins with `[part]`. */
  forPart(part: string): PartLogger
}

/** Options of the logger. */
export interface LoggerOptions {
  /** The entry that writes the log. */
  entry: EntryId | string
  /** The lowest level that is logged. */
  level: LogLevel
  /** Where lines are written; standard output by default. */
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
