/**
 * Reads the body of a caller's request within limits of size and time.
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { createBodyBuffer } from './body-buffer.ts'
import type { ByteBudget } from '../process/byte-budget.ts'
import type { Cancel } from '../types.ts'

/** Returns whether the headers of a request announce a body. */
function hasBody (incoming: IncomingMessage): boolean {
  return incoming.headers['transfer-encoding'] !== undefined || Number(incoming.headers['content-length'] ?? 0) > 0
}

/** Limits of a request body. */
export interface BodyLimits {
  /** Maximum size, in bytes. */
  maxBytes: number
  /** Timeout between two parts of the body, in ms. */
  maxPauseMs: number
  /** Calls the action when this process can no longer handle the request; the returned function removes the action. Optional. */
  watchStop?(action: () => void): Cancel
  /** What the memory of the body is taken from. Whoever gets a body releases its whole buffer. Optional. */
  budget?: ByteBudget
}

/**
 * Reads a complete body; undefined when there is none.
 * Errors: `body-too-large`, `bodies-full`, `request-timeout`, `entry-stopping`, `malformed-request` when the caller disconnects before its end.
 */
export async function readBody (incoming: IncomingMessage, { maxBytes, maxPauseMs, watchStop, budget }: BodyLimits, clock: Clock): Promise<Result<Uint8Array | undefined, AppError>> {
  if (!hasBody(incoming)) return ok(undefined)
  if (incoming.destroyed) return err(createError('malformed-request', 'The connection was closed before the request body was read.'))
  const announcedLength = incoming.headers['content-length']
  const announcedBytes = announcedLength === undefined ? undefined : Number(announcedLength)
  const limitBytes = announcedBytes ?? maxBytes
  if (limitBytes > maxBytes) return err(createTooLargeError(maxBytes))
  const body = createBodyBuffer({ maxBytes, announcedBytes, budget })
  let sizeBytes = 0
  return new Promise((resolve) => {
    let lastPartAtMs = clock.monotonicMs()
    let cancelPause: Cancel = () => undefined
    let stopWatching: Cancel = () => undefined
    /** One timer for many parts: a body may come in chunks of one byte. */
    const watchPause = (): void => {
      const leftMs = lastPartAtMs + maxPauseMs - clock.monotonicMs()
      if (leftMs > 0) cancelPause = clock.startTimer(leftMs, watchPause)
      else finish(err(createError('request-timeout', `No part of the request body was received for ${maxPauseMs} ms.`)))
    }
    const handleData = (chunk: Uint8Array): void => {
      lastPartAtMs = clock.monotonicMs()
      sizeBytes += chunk.byteLength
      if (sizeBytes > limitBytes) {
        finish(err(createTooLargeError(maxBytes)))
        return
      }
      if (!body.append(chunk)) {
        finish(err(createError('bodies-full', 'The request bodies at this entry take all the memory that is meant for them.')))
      }
    }
    const handleEnd = (): void => finish(ok(body.finish()))
    const handleClose = (): void => finish(err(createError('malformed-request', 'The connection was closed before the request body was complete.')))
    const finish = (result: Result<Uint8Array, AppError>): void => {
      cancelPause()
      stopWatching()
      if (result.isErr()) body.release()
      incoming.off('data', handleData).off('end', handleEnd).off('close', handleClose)
      resolve(result)
    }
    watchPause()
    incoming.on('data', handleData).on('end', handleEnd).on('close', handleClose)
    stopWatching = watchStop?.(() => finish(err(createError('entry-stopping', 'This entry shut down before the request body was complete.')))) ?? stopWatching
    incoming.on('error', () => undefined)
  })
}

function createTooLargeError (maxBytes: number): AppError {
  return createError('body-too-large', `The request body is larger than ${maxBytes} bytes.`)
}
