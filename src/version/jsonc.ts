/**
 * Parses JSON with comments, validates it against a schema and reports line and column of each fault.
 */
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { ParseError } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'

/** One fault in a text. */
export interface TextFault {
  /** Line and column, both from 1. */
  line: number
  column: number
  /** What is wrong and what to do. */
  message: string
}

/** Returns line and column, both from 1, of an offset in a text. */
function toPosition (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset)
  const lineStart = before.lastIndexOf('\n') + 1
  return { line: before.split('\n').length, column: offset - lineStart + 1 }
}

/** Returns the position of `path`, or of its nearest ancestor that exists in the text. */
function findPosition (text: string, path: readonly PropertyKey[]): { line: number, column: number } {
  const tree = parseTree(text)
  if (!tree) return { line: 1, column: 1 }
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length).map((part) => typeof part === 'symbol' ? String(part) : part))
    if (node) return toPosition(text, node.parent?.type === 'property' ? node.parent.offset : node.offset)
  }
  return { line: 1, column: 1 }
}

function describeIssue (issue: z.core.$ZodIssue): string {
  const place = issue.path.map(String).join('.')
  const message = issue.code === 'unrecognized_keys'
    ? `unknown key ${issue.keys.map((key) => `"${key}"`).join(', ')}; remove it or correct its spelling`
    : issue.message
  return place ? `${place}: ${message}` : message
}

function toFault (text: string, issue: z.core.$ZodIssue): TextFault {
  const path = issue.code === 'unrecognized_keys' ? [...issue.path, ...issue.keys.slice(0, 1)] : issue.path
  return { ...findPosition(text, path), message: describeIssue(issue) }
}

/** Parses and validates a text. Returns the value with defaults filled in, or all faults found. */
export function parseJsonc<T> (text: string, schema: z.ZodType<T>): Result<T, TextFault[]> {
  const errors: ParseError[] = []
  const value: unknown = parse(text, errors, { allowTrailingComma: true })
  if (errors.length > 0) {
    return err(errors.map((error) => ({ ...toPosition(text, error.offset), message: `not JSON with comments: ${printParseErrorCode(error.error)}` })))
  }
  const checked = schema.safeParse(value)
  if (checked.success) return ok(checked.data)
  return err(checked.error.issues.map((issue) => toFault(text, issue)))
}

/** Formats faults, one per line, as `file:line:column: message`. */
export function formatFaults (file: string, faults: readonly TextFault[]): string {
  return faults.map((fault) => `${file}:${fault.line}:${fault.column}: ${fault.message}`).join('\n')
}
