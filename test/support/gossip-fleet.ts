import { createTestClock } from '../../src/clock.ts'
import type { Clock, TestClock } from '../../src/clock.ts'
import type { GossipMessage } from '../../src/connection/gossip-frames.ts'
import { createGossipMembership } from '../../src/process/gossip/gossip-membership.ts'
import type { GossipMembership, MemberState } from '../../src/process/gossip/gossip-membership.ts'
import { toBrand } from '../../src/types.ts'
import { createRandom } from '../../replay/random.ts'

export const PROBE_INTERVAL_MS = 300
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d', 'zone-e', 'zone-f']
const PEER_PORT = 7_660
const CONTACTS_PER_MEMBER = 3

/** A simulated member: its membership, what it received, and its faults. */
export interface FleetMember {
  id: string
  address: string
  membership: GossipMembership
  received: unknown[]
  /** How long each value of `received` may have waited, in ms. */
  receivedDelaysMs: number[]
  sentCount: number
  /** The datagrams that it sends, or that reach it, are lost. */
  isSendCut: boolean
  isReceiveCut: boolean
  isPaused: boolean
  isStopped: boolean
}

/** A simulated fleet on a lossy network. */
export interface Fleet {
  clock: TestClock
  members: FleetMember[]
  /** Share of the datagrams that are lost. */
  network: { lossShare: number }
  /** Starts a member; one that stopped before starts anew with this start number. */
  startMember(index: number, run: number, contacts?: readonly number[]): FleetMember
  /** Resumes a paused member: its timers that are due run, then it reads what has arrived. */
  resume(member: FleetMember): void
  /** Returns the state of `of` in the view of `member`; undefined if it is unknown there. */
  getState(member: FleetMember, of: FleetMember): MemberState | undefined
  /** Counts the running members in whose view `of` has this state. */
  countViews(of: FleetMember, state: MemberState | undefined): number
}

/** Creates a fleet of `size` members; they know the addresses of a few others and start at once. */
export function createFleet (size: number, options: { seed?: number, zoneCount?: number, lossShare?: number, contactsPerMember?: number } = {}): Fleet {
  const { seed = 1, zoneCount = ZONES.length, lossShare = 0, contactsPerMember = CONTACTS_PER_MEMBER } = options
  const clock = createTestClock()
  const random = createRandom(seed)
  const network = { lossShare }
  const members: FleetMember[] = []
  const byAddress = new Map<string, FleetMember>()
  const pausedWork = new Map<FleetMember, (() => void)[]>()

  const runOrKeep = (member: FleetMember, action: () => void): void => {
    if (!member.isPaused) action()
    else pausedWork.set(member, [...(pausedWork.get(member) ?? []), action])
  }
  const createMemberClock = (member: FleetMember): Clock => ({
    ...clock,
    startTimer: (delayMs, action) => clock.startTimer(delayMs, () => { if (!member.isStopped) runOrKeep(member, action) })
  })
  const send = (from: FleetMember, address: string, message: GossipMessage): void => {
    from.sentCount += 1
    const to = byAddress.get(address)
    if (!to || from.isStopped || from.isSendCut || to.isReceiveCut || random() < network.lossShare) return
    const { membership } = to
    clock.startTimer(1 + random() * 2, () => {
      const arrivedAtMs = clock.monotonicMs()
      if (!to.isStopped && to.membership === membership) runOrKeep(to, () => membership.handleMessage(message, clock.monotonicMs() - arrivedAtMs))
    })
  }
  const startMember = (index: number, run: number, contacts: readonly number[] = []): FleetMember => {
    const id = `front-${index}`
    const address = `10.0.${Math.floor(index / 250)}.${1 + index % 250}`
    const member = { id, address, received: [], receivedDelaysMs: [], sentCount: 0, isSendCut: false, isReceiveCut: false, isPaused: false, isStopped: false } as unknown as FleetMember
    const zone = ZONES[index % zoneCount]!
    member.membership = createGossipMembership({
      self: { id: toBrand(id), zone: toBrand(zone), address, port: 8_144, peerPort: PEER_PORT, run, version: 0, status: { isReady: true, isLeaving: false, isBusy: false, canReadStore: true, isCutOff: false, isPartlyCutOff: false } },
      clock: createMemberClock(member),
      random,
      logger: { info: () => undefined, warn: () => undefined },
      send: (to, message) => send(member, to.address, message),
      createAttachment: () => null,
      handleAttachment: () => undefined,
      handlePayload (_, payload, delayMs) {
        member.received.push(payload)
        member.receivedDelaysMs.push(delayMs)
      },
      handleChange: () => undefined
    })
    const replaced = members[index]
    if (replaced) replaced.isStopped = true
    members[index] = member
    byAddress.set(address, member)
    member.membership.addContacts(contacts.map((contact) => ({ address: `10.0.${Math.floor(contact / 250)}.${1 + contact % 250}`, port: PEER_PORT })))
    member.membership.start()
    return member
  }
  const getState = (member: FleetMember, of: FleetMember): MemberState | undefined =>
    member.membership.listMembers().find(({ id }) => id === of.id)?.state
  for (let index = 0; index < size; index++) {
    const earlier = Array.from({ length: Math.min(index, contactsPerMember) }, () => Math.floor(random() * index))
    startMember(index, 1, earlier)
  }
  return {
    clock,
    members,
    network,
    startMember,
    resume (member) {
      member.isPaused = false
      for (const action of pausedWork.get(member) ?? []) action()
      pausedWork.delete(member)
    },
    getState,
    countViews: (of, state) => members.filter((member) => !member.isStopped && member !== of && getState(member, of) === state).length
  }
}
