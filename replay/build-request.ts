/**
 * Turns a line of a trace into the request that a caller sends, and says what the answer must be.
 */
import { createHash } from 'node:crypto'
import { createDownloadFile } from '../stand-ins/target-download.ts'
import type { Operation, ServiceContract } from '../src/version/contract.ts'
import type { CallerRequest } from './caller.ts'
import type { TraceRequest } from './trace.ts'

/** A request with what is expected of it. */
export interface ExpectedRequest {
  operation: Operation
  request: CallerRequest
  /** Method and path without the query, as the targets note it. */
  noted: string
  /** Names the work of an operation that may not be repeated; the targets must note it once at most. */
  onceName: string | undefined
  /** Digest and size of a download. */
  download: { sha256: string, bytes: number } | undefined
}

/** Returns the name under which a target notes work that may not be repeated. */
export function formatOnceName (noted: string, key: string | undefined): string {
  return `${noted} ${key ?? ''}`
}

/** Fills the parts of a path pattern: the first with the key, the others with fixed text. */
function buildPath (pattern: string, key: string): string {
  let isFirst = true
  return pattern.split('/').map((part) => {
    if (!part.startsWith(':')) return part
    const value = isFirst ? key : '2026'
    isFirst = false
    return value
  }).join('/')
}

function buildDownload (path: string, bytes: number): { sha256: string, bytes: number } {
  const file = createDownloadFile(path, bytes)
  const digest = createHash('sha256')
  for (let at = 0; at < bytes;) {
    const piece = file.readPiece(at, bytes - at)
    digest.update(piece)
    at += piece.length
  }
  return { sha256: digest.digest('hex'), bytes }
}

/** Builds the request of a line; `number` tells repeatable requests apart. Throws when the contract lists no such operation. */
export function buildRequest (line: TraceRequest, number: number, services: Record<string, ServiceContract>): ExpectedRequest {
  const operation = services[line.service]?.operations.find(({ name }) => name === line.operation)
  if (!operation) throw new Error(`The contract lists no operation ${line.service}/${line.operation}.`)
  const isDownload = line.size !== undefined
  const isNumbered = operation.repeatable && !isDownload
  const path = buildPath(operation.path, isNumbered ? `${line.key}-n${number}` : line.key)
  const noted = `${operation.method} ${path}`
  const request: CallerRequest = { service: line.service, method: operation.method, path: isDownload ? `${path}?bytes=${line.size}` : path }
  let noteKey: string | undefined
  if (!operation.repeatable) {
    request.headers = { 'content-type': 'application/json' }
    request.body = '{}'
    if (operation.key.from === 'header') request.headers['idempotency-key'] = noteKey = line.key
    if (operation.key.from === 'field') {
      noteKey = line.key
      request.body = JSON.stringify({ [operation.key.name]: line.key, key: line.key })
    }
  }
  return {
    operation,
    request,
    noted,
    onceName: operation.repeatable ? undefined : formatOnceName(noted, noteKey),
    download: line.size === undefined ? undefined : buildDownload(path, line.size)
  }
}
