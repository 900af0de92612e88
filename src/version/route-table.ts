/**
 * Matches a request's method and path to an operation of a service.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Operation, ServiceContract } from './contract.ts'

/** An operation, with the decoded path segments that its pattern names. */
export interface RouteMatch { operation: Operation, pathParts: Record<string, string> }

/** Decodes a path segment; returns undefined if it is malformed. */
function decodePart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}

/** Matches a path against a pattern. Returns the named segments; undefined if the path does not match. */
function matchPath (pattern: string, path: string): Record<string, string> | undefined {
  const wanted = pattern.split('/')
  const given = path.split('/')
  if (wanted.length !== given.length) return undefined
  const parts: Record<string, string> = {}
  for (const [index, want] of wanted.entries()) {
    const part = given[index] ?? ''
    if (!want.startsWith(':')) {
      if (want !== part) return undefined
      continue
    }
    const decoded = decodePart(part)
    if (!decoded) return undefined
    parts[want.slice(1)] = decoded
  }
  return parts
}

/** Finds the operation for a method and a path without query. Errors: `unknown-operation`, `method-not-allowed`. */
export function findOperation (service: ServiceContract, method: string, path: string): Result<RouteMatch, AppError> {
  let hasPath = false
  for (const operation of service.operations) {
    const pathParts = matchPath(operation.path, path)
    if (!pathParts) continue
    if (operation.method === method) return ok({ operation, pathParts })
    hasPath = true
  }
  return err(hasPath
    ? createError('method-not-allowed', `No operation of this path takes ${method}.`)
    : createError('unknown-operation', 'No operation of the contract has this path.'))
}
