/**
 * The membership of a gateway: the socket, the gossip between gateways, and the messages that ride on it.
 */
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { openDatagramSocket } from '../../connection/datagram-socket.ts'
import type { DatagramCounts, DatagramSocket } from '../../connection/datagram-socket.ts'
import { formatGossipMessage, parseGossipMessage } from '../../connection/gossip-frames.ts'
import type { AppError } from '../../errors.ts'
import { createGossipMembership } from '../gossip/gossip-membership.ts'
import type { GossipMembership } from '../gossip/gossip-membership.ts'
import type { MemberRecord } from '../gossip/member-record.ts'
import type { EntryId } from '../../types.ts'
import type { PartLogger } from '../logger.ts'
import { addMessageAge, addProgressAge, formatProgress, parseGatewayMessage, parseProgress } from './gateway-messages.ts'
import type { GatewayMessage, ReadProgress } from './gateway-messages.ts'

/** The membership of a gateway. */
export interface GatewayMembership extends Pick<GossipMembership, 'addContacts' | 'setStatus' | 'listMembers' | 'countMembers' | 'hasLostAll'> {
  /** Opens the socket and joins. Errors: `settings-invalid` when the address cannot be used. */
  start(): Promise<Result<void, AppError>>
  /** Sends a message to all gateways. Some may miss it. */
  broadcast(message: GatewayMessage): void
  /** Sends a message to one gateway. It may be lost. */
  sendTo(id: EntryId, message: GatewayMessage): void
  /** Keeps track of how long messages wait to be read. Call it from a timer, several times a second. */
  runTick(): void
  /** Returns the totals of the socket. */
  report(): DatagramCounts
  close(): Promise<void>
}

/** Options of `createGatewayMembership`. */
export interface GatewayMembershipOptions {
  self: MemberRecord
  /** Secret shared by all entries. */
  peerKey: string
  clock: Clock
  random: () => number
  logger: PartLogger
  /** Returns how far this gateway has read the topics. */
  getProgress(): ReadProgress
  handleProgress(progress: ReadProgress): void
  handleMessage(from: EntryId, message: GatewayMessage): void
  /** Called when a member has appeared, changed or is gone. */
  handleChange(): void
}

const NO_DATAGRAMS: DatagramCounts = { sent: 0, sentBytes: 0, received: 0, receivedBytes: 0, refused: 0, failed: 0 }

/** Creates the membership; it neither listens nor sends before `start`. */
export function createGatewayMembership (options: GatewayMembershipOptions): GatewayMembership {
  const { self, peerKey, clock, logger } = options
  let socket: DatagramSocket | undefined

  const warnMalformed = (error: AppError): void => logger.warn('Skipped a message of another entry.', { error: error.message })
  const gossip = createGossipMembership({
    ...options,
    send: (to, message) => socket?.send(to, formatGossipMessage(message)),
    createAttachment: () => formatProgress(options.getProgress()),
    handleAttachment: (_, attachment, delayMs) => { parseProgress(attachment).match((progress) => options.handleProgress(addProgressAge(progress, delayMs)), warnMalformed) },
    handlePayload: (from, payload, delayMs) => { parseGatewayMessage(payload).match((message) => options.handleMessage(from, addMessageAge(message, delayMs)), warnMalformed) }
  })
  const { addContacts, setStatus, listMembers, countMembers, hasLostAll } = gossip
  return {
    addContacts,
    setStatus,
    listMembers,
    countMembers,
    hasLostAll,
    async start () {
      const opened = await openDatagramSocket({
        address: self.address,
        port: self.peerPort,
        peerKey,
        clock,
        handleMessage: (message, delayMs) => { parseGossipMessage(message).match((parsed) => gossip.handleMessage(parsed, delayMs), warnMalformed) },
        handleFault: (message) => logger.warn(message)
      })
      if (opened.isErr()) return opened.map(() => undefined)
      socket = opened.value
      gossip.start()
      return ok(undefined)
    },
    broadcast: (message) => gossip.broadcast(message),
    sendTo: (id, message) => gossip.sendTo(id, message),
    runTick: () => socket?.runTick(),
    report: () => socket?.report() ?? NO_DATAGRAMS,
    async close () {
      gossip.close()
      await socket?.close()
    }
  }
}
