/**
 * Starts a server of an entry, so that it listens on its address.
 */
import type { Server } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'

/** Address of a server and the handler of its faults. */
export interface ListenOptions {
  address: string
  port: number
  /** Length of the queue of connections that are not accepted yet. Default 511. */
  backlog?: number
  /** Called with each fault after the start, such as a connection that couldn't be accepted. The server continues. */
  handleFault(message: string): void
}

/** Starts to listen. Errors: `settings-invalid` when the address can't be used. */
export function startListening (server: Server, options: ListenOptions): Promise<Result<void, AppError>> {
  const { address, port, backlog, handleFault } = options
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
