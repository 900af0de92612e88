/**
 * Membership by random probing and gossip, whose cost for each member does not depend on the number of members.
 *
 * Each member probes one other in each interval, directly and then through others, and suspects it when it does not
 * respond; a suspected member contradicts, or is taken for dead after some intervals. Updates ride on the probes (Das,
 * Gupta, Motivala: SWIM, 2002). A member that was paused blames itself for missing responses before it blames others
 * (Dadgar, Phillips, Currey: Lifeguard, 2017). Comparing views with a random member repairs what messages have lost.
 */
import type { DatagramAddress } from '../../connection/datagram-socket.ts'
import type { GossipMessage } from '../../connection/gossip-frames.ts'
import type { Clock } from '../../clock.ts'
import type { Cancel, EntryId, ZoneId } from '../../types.ts'
import { listBroadcastRecipients, listRelayRecipients } from './broadcast-tree.ts'
import { createContacts } from './contacts.ts'
import { createFailureDetector, listAlive, toAddress } from './failure-detector.ts'
import type { GossipLogger, GossipTiming } from './gossip-types.ts'
import { createMemberList } from './member-list.ts'
import type { MemberList } from './member-list.ts'
import type { MemberRecord, MemberStatus, MemberUpdate } from './member-record.ts'
import { shuffle } from './probe-order.ts'
import { createUpdateQueue } from './update-queue.ts'
import type { UpdateQueue } from './update-queue.ts'
import { createViewSync } from './view-sync.ts'

/** State of a member: it works, it may have failed, it is shutting down, or it has failed or ended. */
export type MemberState = 'live' | 'suspect' | 'leaving' | 'gone'

/** A member as the application sees it. */
export interface MemberView {
  id: EntryId
  zone: ZoneId
  address: string
  /** Port for callers. */
  port: number
  /** What the member can take, in cores of normal speed; undefined when it does not state that. */
  capacity?: number | undefined
  status: MemberStatus
  state: MemberState
  isSelf: boolean
}

/** Options of `createGossipMembership`. */
export interface GossipMembershipOptions {
  self: MemberRecord
  clock: Clock
  random: () => number
  logger: GossipLogger
  /** Sends a message; it may be lost. */
  send(to: DatagramAddress, message: GossipMessage): void
  /** Returns a small value that rides on each probe and response. */
  createAttachment(): unknown
  /** Called with the attachment of each probe and response that arrives, and how long it may have waited to be read, in ms. */
  handleAttachment(from: EntryId, attachment: unknown, delayMs: number): void
  /** Called with each value that another member has sent, to all or to this one alone, and how long it may have waited, in ms. */
  handlePayload(from: EntryId, payload: unknown, delayMs: number): void
  /** Called when a member has appeared, changed its status or liveness, or is gone. */
  handleChange(): void
  timing?: Partial<GossipTiming>
}

/** A member of the fleet. */
export interface GossipMembership {
  /** Starts to probe. */
  start(): void
  /** Adds addresses at which members may be found, and greets them if no other member is known. */
  addContacts(contacts: readonly DatagramAddress[]): void
  /** Handles a message that has arrived, and that may have waited for `delayMs` before it was read. Default 0. */
  handleMessage(message: GossipMessage, delayMs?: number): void
  /** Changes the own status, and announces the change to all members at once. */
  setStatus(changes: Partial<MemberStatus>): void
  /** Sends a value to all members. Some may miss it. */
  broadcast(payload: unknown): void
  /** Sends a value to one member, if it is known. It may be lost. */
  sendTo(id: EntryId, payload: unknown): void
  /** Lists all members, this one included, without those that have been forgotten. */
  listMembers(): MemberView[]
  /** Counts the members that are not gone, this one included. */
  countMembers(): number
  /** Whether other members are known and none of them has been heard lately. */
  hasLostAll(): boolean
  getSelf(): MemberRecord
  close(): void
}

const DEFAULT_TIMING: GossipTiming = { probeIntervalMs: 300, indirectAfterMs: 120, syncIntervalMs: 5_000, forgetAfterMs: 60_000 }
/** Updates on each probe and response; with them a message fits into one datagram. */
const UPDATES_PER_MESSAGE = 7
/** Updates in one message of a view; with them it fits into one datagram. */
const UPDATES_PER_VIEW_MESSAGE = 12
/** One in this number of intervals, a member that is dead or was never heard is probed too. */
const INTERVALS_PER_LOST_PROBE = 4
/** Contacts whose view is requested in each interval until one has responded. */
const JOIN_CONTACTS = 3
/** Contacts that a member which knows nobody greets at once, so that they know it and need not search themselves. */
const MAX_GREETED_CONTACTS = 256
/** Updates in one view; the rest of a larger fleet follows with later comparisons. */
const MAX_VIEW_UPDATES = 120
const JITTER_SHARE = 0.1

function computeState ({ record, liveness }: MemberUpdate): MemberState {
  if (liveness === 'dead') return 'gone'
  if (record.status.isLeaving) return 'leaving'
  return liveness === 'suspect' ? 'suspect' : 'live'
}

function toView (update: MemberUpdate, self: EntryId): MemberView {
  const { id, zone, address, port, capacity, status } = update.record
  return { id, zone, address, port, capacity, status, state: computeState(update), isSelf: id === self }
}

/** Creates the updates of messages: the newest ones of the view, each passed on a limited number of times. */
function createUpdateSource (members: MemberList, queue: UpdateQueue) {
  return (recipient?: MemberRecord): MemberUpdate[] => {
    const self = members.getSelf().id
    const updates = queue.take(UPDATES_PER_MESSAGE).flatMap((id) => members.get(id)?.update ?? [])
    const others = updates.filter(({ record }) => record.id !== recipient?.id && record.id !== self)
    const known = recipient && members.get(recipient.id)?.update
    // What this member wrongly believes of the recipient comes first, so that the recipient can contradict.
    const isWrong = known !== undefined && (known.liveness !== 'alive' || known.record.run > recipient!.run)
    return isWrong ? [known, ...others] : others
  }
}

/** Creates a member; it neither sends nor waits before `start`. */
export function createGossipMembership (options: GossipMembershipOptions): GossipMembership {
  const { self, clock, random, send } = options
  const timing = { ...DEFAULT_TIMING, ...options.timing }
  let isApplyingView = false
  const queue = createUpdateQueue(() => members.countMembers())
  const members = createMemberList({
    self,
    clock,
    handleChange (update) {
      // Views spread by comparison; passing on each of their updates as well would fill all messages when many members start.
      if (!isApplyingView) queue.add(update.record.id)
      options.handleChange()
    }
  })
  const takeUpdates = createUpdateSource(members, queue)
  const viewSync = createViewSync(timing, clock)
  const contacts = createContacts(random)
  /** Probes that other members requested, whose responses are passed on to them. */
  const relayedProbes = new Map<number, { requester: DatagramAddress, sequence: number }>()
  /** A member whose view differed in this interval. */
  let differing: MemberRecord | undefined
  let tickCount = 0
  let hasJoined = false
  let isClosed = false
  let cancelTick: Cancel = () => undefined

  const createProbe = (type: 'ping' | 'ack', sequence: number, recipient?: MemberRecord): GossipMessage =>
    ({ type, sequence, from: members.getSelf(), digest: members.getDigest(), updates: takeUpdates(recipient), attachment: options.createAttachment() })
  const detector = createFailureDetector({
    ...options,
    members,
    timing,
    sendPing: (to, sequence, recipient) => send(to, createProbe('ping', sequence, recipient)),
    requestPing: (helper, sequence, target) => send(helper, { type: 'ping-request', sequence, from: members.getSelf(), target })
  })
  const requestView = (to: DatagramAddress): void => send(to, { type: 'sync-request', from: members.getSelf(), digest: members.getDigest() })
  const joinContacts = (): void => {
    if (!hasJoined) for (const to of contacts.choose(JOIN_CONTACTS)) requestView(to)
  }
  /** Probes a member that is dead, or an address that was never heard. With its response it is alive again. */
  const probeLost = (): void => {
    const dead = members.listDead().map(({ update: { record } }) => ({ to: toAddress(record), record }))
    const [chosen] = shuffle([...dead, ...contacts.list().map((to) => ({ to, record: undefined }))], random)
    if (!chosen) return
    contacts.recordProbe(chosen.to)
    send(chosen.to, createProbe('ping', detector.takeSequence(), chosen.record))
  }
  const syncView = (): void => {
    const isSpreading = queue.count() > 0 && queue.count() <= UPDATES_PER_MESSAGE
    const partner = differing ?? shuffle(listAlive(members), random)[0]?.update.record
    if (partner && viewSync.isDue(differing !== undefined && !isSpreading)) requestView(toAddress(partner))
    differing = undefined
  }
  const runTick = (): void => {
    detector.settle()
    members.removeForgotten(timing.forgetAfterMs)
    relayedProbes.clear()
    joinContacts()
    detector.probeNext()
    if (tickCount % INTERVALS_PER_LOST_PROBE === 0) probeLost()
    syncView()
    tickCount += 1
    const delayMs = timing.probeIntervalMs * (1 + JITTER_SHARE * (random() - 0.5))
    // The second timer lets a busy process read the responses that have arrived before it counts those that are missing.
    cancelTick = clock.startTimer(delayMs, () => { cancelTick = clock.startTimer(0, runTick) })
  }

  const applyUpdates = (from: MemberRecord, updates: readonly MemberUpdate[], isView: boolean): void => {
    if (members.get(from.id) === undefined) options.logger.info('A member has appeared.', { member: from.id, run: from.run })
    contacts.remove(toAddress(from))
    members.apply({ record: from, liveness: 'alive' })
    isApplyingView = isView
    for (const update of updates) members.apply(update)
    isApplyingView = false
  }
  const relayPing = (from: MemberRecord, sequence: number, target: DatagramAddress): void => {
    const ownSequence = detector.takeSequence()
    relayedProbes.set(ownSequence, { requester: toAddress(from), sequence })
    send(target, createProbe('ping', ownSequence))
  }
  const handleAck = (message: GossipMessage & { type: 'ack' }): void => {
    detector.handleResponse(message.sequence)
    const relayed = relayedProbes.get(message.sequence)
    relayedProbes.delete(message.sequence)
    if (relayed) send(relayed.requester, { ...message, sequence: relayed.sequence })
  }
  /** Sends the whole view, or an empty message to a member whose view is the same. */
  const sendView = (to: MemberRecord, digest: number): void => {
    const updates = digest === members.getDigest() ? [] : shuffle(members.listUpdates(), random).slice(0, MAX_VIEW_UPDATES)
    for (let at = 0; at === 0 || at < updates.length; at += UPDATES_PER_VIEW_MESSAGE) {
      send(toAddress(to), { type: 'sync', from: members.getSelf(), updates: updates.slice(at, at + UPDATES_PER_VIEW_MESSAGE) })
    }
  }
  const sendBroadcast = (payload: unknown): void => {
    const alive = listAlive(members).map(({ update }) => update.record)
    for (const { member, isRelay } of listBroadcastRecipients(self.zone, alive, random)) {
      send(toAddress(member), { type: 'broadcast', from: members.getSelf(), isRelay, delayMs: 0, payload })
    }
  }
  const handleBroadcast = (message: GossipMessage & { type: 'broadcast' }, ownDelayMs: number): void => {
    const delayMs = message.delayMs + ownDelayMs
    const alive = listAlive(members).map(({ update }) => update.record).filter(({ id }) => id !== message.from.id)
    if (message.isRelay) for (const member of listRelayRecipients(self.zone, alive)) send(toAddress(member), { ...message, isRelay: false, delayMs })
    if (message.payload !== undefined) options.handlePayload(message.from.id, message.payload, delayMs)
  }
  const handleMessage = (message: GossipMessage, delayMs: number): void => {
    const { from } = message
    detector.recordMessage()
    applyUpdates(from, 'updates' in message ? message.updates : [], message.type === 'sync')
    if (message.type === 'ping' || message.type === 'ack') {
      if (message.digest !== members.getDigest()) differing = from
      options.handleAttachment(from.id, message.attachment, delayMs)
    }
    switch (message.type) {
      case 'ping': return send(toAddress(from), createProbe('ack', message.sequence, from))
      case 'ack': return handleAck(message)
      case 'ping-request': return relayPing(from, message.sequence, message.target)
      case 'sync-request': return sendView(from, message.digest)
      case 'sync':
        hasJoined = true
        return
      case 'broadcast': return handleBroadcast(message, delayMs)
      case 'direct': return options.handlePayload(from.id, message.payload, delayMs)
    }
  }
  return {
    start: runTick,
    addContacts (added) {
      const known = new Set(members.listUpdates().map(({ record }) => `${record.address}:${record.peerPort}`))
      const unknown = added.filter((contact) => !known.has(`${contact.address}:${contact.port}`))
      for (const contact of unknown) contacts.add(contact)
      if (members.countMembers() > 1) return
      for (const contact of contacts.choose(MAX_GREETED_CONTACTS)) send(contact, createProbe('ping', detector.takeSequence()))
      joinContacts()
    },
    handleMessage (message, delayMs = 0) {
      if (!isClosed) handleMessage(message, delayMs)
    },
    setStatus (changes) {
      if (members.setStatus(changes)) sendBroadcast(undefined)
    },
    broadcast: sendBroadcast,
    sendTo (id, payload) {
      const known = members.get(id)
      if (known) send(toAddress(known.update.record), { type: 'direct', from: members.getSelf(), payload })
    },
    listMembers: () => members.listUpdates().map((update) => toView(update, self.id)),
    countMembers: () => members.countMembers(),
    hasLostAll: () => detector.hasLostAll(),
    getSelf: () => members.getSelf(),
    close () {
      isClosed = true
      cancelTick()
      detector.close()
    }
  }
}
