/**
 * A UDP socket that carries authenticated messages between entries. Messages may be lost, repeated or reordered.
 */
import { createSocket } from 'node:dgram'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.ts'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { createDatagramCodec } from './datagram-codec.ts'
import { createReceiveDelay } from './receive-delay.ts'

/** Where a socket receives messages. */
export interface DatagramAddress { address: string, port: number }

/** Totals since the socket was opened. */
export interface DatagramCounts {
  sent: number
  sentBytes: number
  received: number
  receivedBytes: number
  /** Datagrams with a wrong tag or a malformed content. */
  refused: number
  /** Datagrams that could not be sent. */
  failed: number
}

/** An open socket. */
export interface DatagramSocket {
  /** Sends a message; a failure is counted and reported to `handleFault`. */
  send(to: DatagramAddress, message: unknown): void
  /** Keeps track of how long datagrams wait. Call it from a timer, several times a second. */
  runTick(): void
  report(): DatagramCounts
  close(): Promise<void>
}

/** Options of `openDatagramSocket`. */
export interface DatagramSocketOptions extends DatagramAddress {
  /** Secret shared by all entries. */
  peerKey: string
  clock: Clock
  /** Called with each message, and how long it may have waited to be read, in ms. */
  handleMessage(message: unknown, delayMs: number): void
  /** Called with the first fault and then with one in `FAULTS_PER_CALL`, so that an unknown sender cannot flood the log. */
  handleFault(message: string): void
}

const FAULTS_PER_CALL = 100

/** Opens a socket. Errors: `settings-invalid` when the address cannot be used. */
export function openDatagramSocket (options: DatagramSocketOptions): Promise<Result<DatagramSocket, AppError>> {
  const { address, port, handleMessage } = options
  const codec = createDatagramCodec(options)
  const counts: DatagramCounts = { sent: 0, sentBytes: 0, received: 0, receivedBytes: 0, refused: 0, failed: 0 }
  const socket = createSocket('udp4')
  const receiveDelay = createReceiveDelay(options.clock)
  let faultCount = 0
  let isClosed = false

  const reportFault = (text: string): void => {
    if (faultCount % FAULTS_PER_CALL === 0) options.handleFault(text)
    faultCount += 1
  }
  const sendDatagram = (to: DatagramAddress, datagram: Buffer): void => {
    counts.sent += 1
    counts.sentBytes += datagram.length
    const fail = (cause: unknown): void => {
      counts.failed += 1
      reportFault(`A datagram to ${to.address}:${to.port} could not be sent: ${describeCause(cause)}`)
    }
    try {
      socket.send(datagram, to.port, to.address, (cause) => { if (cause) fail(cause) })
    } catch (cause) {
      // Node.js throws for a port out of range.
      fail(cause)
    }
  }
  const send = (to: DatagramAddress, message: unknown): void => {
    if (isClosed) return
    const datagrams = codec.encode(message)
    if (datagrams.isErr()) {
      counts.failed += 1
      reportFault(`A message to ${to.address}:${to.port} could not be sent: ${datagrams.error.message}`)
      return
    }
    for (const datagram of datagrams.value) sendDatagram(to, datagram)
  }
  /** A message that a handler fails on reaches all entries: it must not end them one after the other. */
  const handleSafely = (message: unknown): void => {
    try {
      handleMessage(message, receiveDelay.getMs())
    } catch (cause) {
      counts.refused += 1
      reportFault(`Handling a message failed: ${describeCause(cause)}`)
    }
  }
  socket.on('message', (datagram, from) => {
    receiveDelay.recordRead()
    counts.received += 1
    counts.receivedBytes += datagram.length
    const message = codec.decode(datagram, `${from.address}:${from.port}`)
    if (message.isErr()) {
      counts.refused += 1
      reportFault(`Refused a datagram from ${from.address}:${from.port}: ${message.error.message}`)
    } else if (message.value !== undefined) handleSafely(message.value)
  })
  return new Promise((resolve) => {
    const fail = (cause: Error): void => resolve(err(createError('settings-invalid', `Cannot receive datagrams on ${address}:${port}: ${describeCause(cause)}`, cause)))
    socket.once('error', fail)
    socket.bind({ address, port }, () => {
      socket.off('error', fail)
      socket.on('error', (cause) => reportFault(`The socket on ${address}:${port} failed: ${describeCause(cause)}`))
      resolve(ok({
        send,
        runTick: receiveDelay.runTick,
        report: () => ({ ...counts }),
        async close () {
          if (isClosed) return
          isClosed = true
          await new Promise<void>((resolve) => { socket.close(resolve) })
        }
      }))
    })
  })
}
