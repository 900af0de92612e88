/**
 * Parses the arguments of a command with `util.parseArgs` and returns its exceptions as errors.
 */
import { parseArgs } from 'node:util'
import type { ParseArgsConfig } from 'node:util'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'

type Options = NonNullable<ParseArgsConfig['options']>

/** Parses arguments; positional ones are allowed. Errors: `usage` for an unknown option or a missing value. */
export function parseArguments<T extends Options> (args: string[], options: T) {
  type Parsed = ReturnType<typeof parseArgs<{ args: string[], options: T, strict: true, allowPositionals: true }>>
  try {
    return ok(parseArgs({ args, options, strict: true, allowPositionals: true })) as Result<Parsed, AppError>
  } catch (cause) {
    return err(createError('usage', describeCause(cause))) as Result<Parsed, AppError>
  }
}
