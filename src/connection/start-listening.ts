/**
 * Begins to listen, for every server of an entry.
 */
import type { Server } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'

/** Where to listen. */
export interface ListenPlace {
  address: string
  port: number
  /** Connections that may wait to be accepted. Default 511. */
  backlog?: number
  /** Told of faults after the start, such as a connection that could not be accepted; the server goes on. */
  handleFault(message: string): void
}

/** Begins to listen. Errors: `settings-invalid` when the address cannot be used. */
export function startListening (server: Server, place: ListenPlace): Promise<Result<void, AppError>> {
  const { address, port, backlog, handleFault } = place
  return new Promise((resolve) => {
    const fail = (cause: Error): void => {
      resolve(err(createError('settings-invalid', `Cannot listen on ${address}:${port}: ${describeCause(cause)}`, cause)))
    }
    server.once('error', fail)
    server.listen({ host: address, port, backlog }, () => {
      server.off('error', fail)
      server.on('error', (cause) => handleFault(`A connection to ${address}:${port} failed: ${describeCause(cause)}`))
      resolve(ok(undefined))
    })
  })
}
