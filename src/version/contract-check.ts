/**
 * Checks the text of a contract: first against the schema, then the rules that span several fields.
 */
import { createScanner } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { contractSchema } from './contract.ts'
import type { Contract, Operation } from './contract.ts'
import { parseJsonc } from './jsonc.ts'
import type { TextFault } from './jsonc.ts'
import type { z } from 'zod'

type ParsedContract = z.infer<typeof contractSchema>
type ParsedService = ParsedContract['services'][string]
type CheckContext = z.core.$RefinementCtx
type Path = (string | number)[]

const MAX_NESTING_DEPTH = 32
/** Token kinds of the scanner; its own enumeration is a `const enum`, which has no value at run time. */
const TOKENS = { openBrace: 1, closeBrace: 2, openBracket: 3, closeBracket: 4, end: 17 }
/** Safe methods of the HTTP standard, which a target may receive twice without harm. */
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD']

function addFault (context: CheckContext, path: Path, message: string): void {
  context.addIssue({ code: 'custom', path, message })
}

function checkUnique (context: CheckContext, values: readonly string[], toPath: (index: number) => Path, what: string): void {
  const seen = new Set<string>()
  values.forEach((value, index) => {
    if (seen.has(value)) addFault(context, toPath(index), `${what} "${value}" is used twice; give each its own`)
    seen.add(value)
  })
}

function checkKey (context: CheckContext, path: Path, operation: Operation): void {
  if (operation.repeatable) return
  if (SAFE_METHODS.includes(operation.method)) {
    addFault(context, [...path, 'repeatable'], `${operation.method} is always idempotent; set repeatable to true or use another method`)
  }
  const key = operation.key
  if (key.from === 'path' && !operation.path.split('/').includes(`:${key.name}`)) {
    addFault(context, [...path, 'key', 'name'], `the path has no part ":${key.name}"; add it to the path or name another part`)
  }
}

function checkOperation (context: CheckContext, path: Path, operation: Operation): void {
  checkKey(context, path, operation)
  if (operation.longestMs < operation.deadlineMs) {
    addFault(context, [...path, 'longestMs'], `longestMs is below deadlineMs (${operation.deadlineMs}); raise it`)
  }
  if (operation.path.includes('?') || operation.path.includes('#')) {
    addFault(context, [...path, 'path'], 'leave query and fragment out of the path')
  }
}

/** Formats method and path pattern so that two patterns that match the same paths give the same text. */
function formatRoute (operation: Operation): string {
  const parts = operation.path.split('/').map((part) => part.startsWith(':') ? ':' : part)
  return `${operation.method} ${parts.join('/')}`
}

function checkService (context: CheckContext, path: Path, service: ParsedService, entryCount: number): void {
  const targets = service.targets
  checkUnique(context, targets.map((target) => target.id), (index) => [...path, 'targets', index, 'id'], 'target id')
  checkUnique(context, targets.map((target) => `${target.address}:${target.port}`), (index) => [...path, 'targets', index, 'address'], 'target address')
  checkUnique(context, service.operations.map((operation) => operation.name), (index) => [...path, 'operations', index, 'name'], 'operation name')
  checkUnique(context, service.operations.map(formatRoute), (index) => [...path, 'operations', index, 'path'], 'route')
  service.operations.forEach((operation, index) => checkOperation(context, [...path, 'operations', index], operation))
  if (service.connectionsPerTarget < entryCount) {
    addFault(context, [...path, 'connectionsPerTarget'], `leaves no connection for each of the ${entryCount} entries; raise it or lower entries.largestCount`)
  }
}

function checkAcrossFields (contract: ParsedContract, context: CheckContext): void {
  if (contract.version !== contract.basedOn + 1) {
    addFault(context, ['version'], `must be basedOn + 1, here ${contract.basedOn + 1}`)
  }
  for (const [name, service] of Object.entries(contract.services)) {
    checkService(context, ['services', name], service, contract.entries.largestCount)
  }
}

const checkedSchema = contractSchema.superRefine(checkAcrossFields)

/** Finds the first place that nests deeper than `MAX_NESTING_DEPTH`; parsing such a text could overflow the stack. */
function findDeepNesting (text: string): TextFault | undefined {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token: number = scanner.scan(); token !== TOKENS.end; token = scanner.scan()) {
    if (token === TOKENS.openBrace || token === TOKENS.openBracket) depth += 1
    if (token === TOKENS.closeBrace || token === TOKENS.closeBracket) depth -= 1
    if (depth > MAX_NESTING_DEPTH) {
      return { line: scanner.getTokenStartLine() + 1, column: scanner.getTokenStartCharacter() + 1, message: `nests deeper than ${MAX_NESTING_DEPTH} levels` }
    }
  }
  return undefined
}

/** Parses and checks a contract. Returns it with defaults filled in, or all faults with line and column. */
export function checkContractText (text: string): Result<Contract, TextFault[]> {
  const deep = findDeepNesting(text)
  if (deep) return err([deep])
  const parsed = parseJsonc(text, checkedSchema)
  // Ids are branded only here, after their pattern has been checked.
  return parsed.isOk() ? ok(parsed.value as unknown as Contract) : err(parsed.error)
}
