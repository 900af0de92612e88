/**
 * Shared by all commands: output, exit codes and the reporting of errors.
 */
import { getErrorResponse } from '../errors.ts'
import type { AppError, ErrorKind } from '../errors.ts'

/** The output of a command. */
export interface CommandIo {
  stdout(text: string): void
  stderr(text: string): void
}

/** The exit codes of all commands, as listed in the help texts. */
export const EXIT_CODES = {
  ok: 0,
  /** The command ran and its result is negative: refused, rejected or failed. */
  refused: 1,
  /** The command line itself is invalid. */
  usage: 2,
  /** A settings or contract file is invalid. */
  invalidFile: 3,
  /** The log or an entry cannot be reached; nothing was changed. */
  unreachable: 4,
  /** It is unknown whether the change was made. */
  unknown: 5
} as const

/** Returns the exit code for an error kind. */
export function getExitCode (kind: ErrorKind): number {
  switch (kind) {
    case 'usage': return EXIT_CODES.usage
    case 'settings-invalid':
    case 'contract-invalid': return EXIT_CODES.invalidFile
    case 'log-unavailable':
    case 'host-list-unavailable':
    case 'platform-down':
    case 'peer-unreachable': return EXIT_CODES.unreachable
    case 'log-unknown':
    case 'peer-broken': return EXIT_CODES.unknown
    default: return EXIT_CODES.refused
  }
}

/** Prints one line. */
export function printLine (io: CommandIo, text: string): void {
  io.stdout(`${text}\n`)
}

/** Prints an error with its advice to standard error, and returns its exit code. */
export function printFailure (io: CommandIo, error: AppError, isJson: boolean): number {
  const { advice } = getErrorResponse(error.kind)
  if (isJson) io.stderr(`${JSON.stringify({ error: error.kind, message: error.message, advice })}\n`)
  else io.stderr(`medlarcove: ${error.kind}: ${error.message}\n${advice}\n`)
  return getExitCode(error.kind)
}

/** The list of exit codes at the end of each help text. */
export const EXIT_CODES_HELP = `Exit codes:
  0  done
  1  refused, rejected or failed
  2  wrong command line
  3  wrong settings or contract file; file, line and column are printed
  4  the log or the entry cannot be reached; nothing was done
  5  it is not known whether the change was made; publish the same file again to find out
`
