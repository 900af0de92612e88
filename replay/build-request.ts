/**
 * Turns a request line of a trace into the HTTP request that a caller sends, with what its checks expect.
 */
import { createHash } from 'node:crypto'
import { createDownloadFile } from '../stand-ins/target-download.ts'
import type { Operation, ServiceContract } from '../src/version/contract.ts'
import type { CallerRequest } from './caller.ts'
import type { TraceRequest } from './trace.ts'

/** A request and what is expected of its response and of the targets' records. */
export interface ExpectedRequest {
  operation: Operation
  request: CallerRequest
  /** Method and path without the query, as targets record the operation. */
  recordedOperation: string
  /** Identifies the work of a non-idempotent operation, which may run at most once; undefined for an idempotent one. */
  workId: string | undefined
  /** SHA-256 digest in hexadecimal and size in bytes of a download; undefined for any other request. */
  download: { sha256: string, bytes: number } | undefined
}

/**
 * Returns the identifier of a piece of work: the operation as targets record it, and its idempotency key if it has one.
 */
export function formatWorkId (recordedOperation: string, key: string | undefined): string {
  return `${recordedOperation} ${key ?? ''}`
}

/** Replaces the parameters of a path pattern: the first by the key, the others by a fixed value. */
function buildPath (pattern: string, key: string): string {
  let isFirst = true
  return pattern.split('/').map((segment) => {
    if (!segment.startsWith(':')) return segment
    const value = isFirst ? key : '2026'
    isFirst = false
    return value
  }).join('/')
}

function buildDownload (path: string, bytes: number): { sha256: string, bytes: number } {
  const file = createDownloadFile(path, bytes)
  const digest = createHash('sha256')
  for (let offset = 0; offset < bytes;) {
    const chunk = file.readChunk(offset, bytes - offset)
    digest.update(chunk)
    offset += chunk.length
  }
  return { sha256: digest.digest('hex'), bytes }
}

/**
 * Builds the request of a trace line. The index of the line goes into the path of idempotent requests other than
 * downloads, so that each has a path of its own.
 *
 * Errors: throws when the contract does not list the operation.
 */
export function buildRequest (line: TraceRequest, index: number, services: Record<string, ServiceContract>): ExpectedRequest {
  const operation = services[line.service]?.operations.find(({ name }) => name === line.operation)
  if (!operation) throw new Error(`The contract does not list the operation ${line.service}/${line.operation}.`)
  const isDownload = line.size !== undefined
  const hasIndex = operation.repeatable && !isDownload
  const path = buildPath(operation.path, hasIndex ? `${line.key}-n${index}` : line.key)
  const recordedOperation = `${operation.method} ${path}`
  const request: CallerRequest = { service: line.service, method: operation.method, path: isDownload ? `${path}?bytes=${line.size}` : path }
  let idempotencyKey: string | undefined
  if (!operation.repeatable) {
    request.headers = { 'content-type': 'application/json' }
    request.body = '{}'
    if (operation.key.from === 'header') request.headers['idempotency-key'] = idempotencyKey = line.key
    if (operation.key.from === 'field') {
      idempotencyKey = line.key
      request.body = JSON.stringify({ [operation.key.name]: line.key, key: line.key })
    }
  }
  return {
    operation,
    request,
    recordedOperation,
    workId: operation.repeatable ? undefined : formatWorkId(recordedOperation, idempotencyKey),
    download: line.size === undefined ? undefined : buildDownload(path, line.size)
  }
}
