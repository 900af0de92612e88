/**
 * Reads the body of a caller's request within bounds of size and time.
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'

/** Whether a request announces a body. */
function hasBody (incoming: IncomingMessage): boolean {
  return incoming.headers['transfer-encoding'] !== undefined || Number(incoming.headers['content-length'] ?? 0) > 0
}

/** Bounds of a body. */
export interface BodyBounds {
  largestBytes: number
  /** The longest pause between two parts, in ms. */
  longestPauseMs: number
}

/**
 * Reads a whole body; undefined when there is none.
 * Errors: `body-too-large`, `request-timeout`, `malformed-request` when the caller breaks off.
 */
export async function readBody (incoming: IncomingMessage, { largestBytes, longestPauseMs }: BodyBounds, clock: Clock): Promise<Result<Uint8Array | undefined, AppError>> {
  if (!hasBody(incoming)) return ok(undefined)
  if (Number(incoming.headers['content-length'] ?? 0) > largestBytes) return err(createTooLargeError(largestBytes))
  const chunks: Uint8Array[] = []
  let sizeBytes = 0
  return new Promise((resolve) => {
    const startPauseTimer = () => clock.startTimer(longestPauseMs, () => {
      finish(err(createError('request-timeout', `No part of the body came for ${longestPauseMs} ms.`)))
    })
    let cancelPause = startPauseTimer()
    const handleData = (chunk: Uint8Array): void => {
      cancelPause()
      sizeBytes += chunk.byteLength
      if (sizeBytes > largestBytes) {
        finish(err(createTooLargeError(largestBytes)))
        return
      }
      chunks.push(chunk)
      cancelPause = startPauseTimer()
    }
    const handleEnd = (): void => finish(ok(Buffer.concat(chunks)))
    const handleClose = (): void => finish(err(createError('malformed-request', 'The caller broke off in the body.')))
    const finish = (result: Result<Uint8Array, AppError>): void => {
      cancelPause()
      incoming.off('data', handleData).off('end', handleEnd).off('close', handleClose)
      resolve(result)
    }
    incoming.on('data', handleData).on('end', handleEnd).on('close', handleClose)
    incoming.on('error', () => undefined)
  })
}

function createTooLargeError (largestBytes: number): AppError {
  return createError('body-too-large', `The body is larger than ${largestBytes} bytes.`)
}
