/**
 * Detects failed members: probes one in each interval, directly and then through others, suspects it when it does not
 * respond, and takes it for dead when it does not contradict in time.
 */
import type { DatagramAddress } from '../../connection/datagram-socket.ts'
import type { Clock } from '../../clock.ts'
import type { Cancel, EntryId } from '../../types.ts'
import type { GossipLogger, GossipTiming } from './gossip-types.ts'
import type { KnownMember, MemberList } from './member-list.ts'
import type { MemberRecord } from './member-record.ts'
import { createProbeOrder, shuffle } from './probe-order.ts'

/** Detects failed members. */
export interface FailureDetector {
  /** Probes the next member. */
  probeNext(): void
  /** Suspects the members that did not respond since the last call, and takes those for dead that were suspected too long. */
  settle(): void
  /** Records that a message has arrived, from whomever. */
  recordMessage(): void
  /** Whether other members are known and none of them has been heard lately. */
  hasLostAll(): boolean
  /** Settles the probe with this number. */
  handleResponse(sequence: number): void
  /** Returns a new number for a probe. */
  takeSequence(): number
  close(): void
}

/** Options of `createFailureDetector`. */
export interface FailureDetectorOptions {
  members: MemberList
  clock: Clock
  random: () => number
  logger: GossipLogger
  timing: GossipTiming
  /** Sends a probe. */
  sendPing(to: DatagramAddress, sequence: number, recipient: MemberRecord): void
  /** Asks a member to repeat a probe. */
  requestPing(helper: DatagramAddress, sequence: number, target: DatagramAddress): void
}

/** Members asked to repeat a probe. */
const INDIRECT_PROBES = 3
/** A suspected member is taken for dead after this number of intervals per power of two of the number of members, so that its contradiction can reach all. */
const SUSPICION_INTERVALS_PER_DOUBLING = 1.5
/** After a pause of more than this number of intervals, a member does not count missing responses. */
const MAX_LATE_INTERVALS = 1
/**
 * A member that has heard nobody for this number of intervals may be cut off itself. It suspects nobody at first, and takes
 * back what it concluded in that time when it hears somebody again.
 */
const ISOLATED_AFTER_INTERVALS = 1.5
/** After this long it suspects those that do not respond, in ms: they may have failed together. */
const MAX_ISOLATION_MS = 3_000
/** With fewer other members, silence of all is no sign of isolation. */
const MIN_MEMBERS_FOR_ISOLATION = 3

/** Returns where a member receives messages. */
export function toAddress ({ address, peerPort }: MemberRecord): DatagramAddress {
  return { address, port: peerPort }
}

/** Lists the other members that are neither suspected nor dead. */
export function listAlive (members: MemberList): KnownMember[] {
  return members.listOthers().filter(({ update }) => update.liveness === 'alive')
}

/** Creates the detector. Call `settle` and `probeNext` once in each interval. */
export function createFailureDetector (options: FailureDetectorOptions): FailureDetector {
  const { members, clock, random, logger, timing } = options
  const { probeIntervalMs } = timing
  const takeNextProbe = createProbeOrder(random)
  const pending = new Map<number, { target: EntryId, cancel: Cancel }>()
  let sequence = 0
  let lastSettledAtMs = clock.monotonicMs()
  let lastMessageAtMs = clock.monotonicMs()
  /** Members suspected while nobody was heard. */
  const suspectedInSilence = new Set<EntryId>()

  const takeSequence = (): number => {
    sequence += 1
    return sequence
  }
  const requestIndirectPings = (target: MemberRecord, number: number): void => {
    const helpers = shuffle(listAlive(members).filter(({ update }) => update.record.id !== target.id), random).slice(0, INDIRECT_PROBES)
    for (const { update } of helpers) options.requestPing(toAddress(update.record), number, toAddress(target))
  }
  const isSilent = (): boolean => clock.monotonicMs() - lastMessageAtMs > ISOLATED_AFTER_INTERVALS * probeIntervalMs
  const isIsolated = (nowMs: number): boolean =>
    members.listOthers().length >= MIN_MEMBERS_FOR_ISOLATION && isSilent() && nowMs - lastMessageAtMs < MAX_ISOLATION_MS
  const suspect = (id: EntryId): void => {
    const known = members.get(id)
    if (!known || known.update.liveness !== 'alive') return
    const { record } = known.update
    // A member that is shutting down is expected to end.
    members.setLiveness(id, record.status.isLeaving ? 'dead' : 'suspect')
    if (record.status.isLeaving) return
    if (isSilent()) suspectedInSilence.add(id)
    logger.warn('A member does not respond; suspecting it.', { member: id, afterMs: probeIntervalMs })
    // It can contradict at once if only the first probe was lost.
    options.sendPing(toAddress(record), takeSequence(), record)
  }
  const settleProbes = (isCounted: boolean): void => {
    for (const [number, { target, cancel }] of pending) {
      cancel()
      pending.delete(number)
      if (isCounted) suspect(target)
    }
  }
  const settleSuspicions = (nowMs: number): void => {
    const suspicionMs = SUSPICION_INTERVALS_PER_DOUBLING * Math.log2(members.countMembers() + 1) * probeIntervalMs
    for (const known of members.listOthers()) {
      if (known.update.liveness !== 'suspect' || nowMs - known.changedAtMs < suspicionMs) continue
      const { id } = known.update.record
      members.setLiveness(id, 'dead')
      logger.info('A member is gone.', { member: id, because: 'it did not contradict the suspicion in time', suspectedMs: Math.round(suspicionMs) })
    }
  }
  return {
    probeNext () {
      const next = takeNextProbe(members.listOthers().map(({ update }) => update.record.id))
      const target = next === undefined ? undefined : members.get(next)?.update.record
      if (!target) return
      const number = takeSequence()
      const cancel = clock.startTimer(timing.indirectAfterMs, () => requestIndirectPings(target, number))
      pending.set(number, { target: target.id, cancel })
      options.sendPing(toAddress(target), number, target)
    },
    settle () {
      const nowMs = clock.monotonicMs()
      const lateMs = nowMs - lastSettledAtMs - probeIntervalMs
      const wasPaused = lateMs > MAX_LATE_INTERVALS * probeIntervalMs
      lastSettledAtMs = nowMs
      settleProbes(!wasPaused && !isIsolated(nowMs))
      if (wasPaused) members.postponeSuspicions(lateMs)
      settleSuspicions(nowMs)
    },
    recordMessage () {
      lastMessageAtMs = clock.monotonicMs()
      for (const id of suspectedInSilence) members.setLiveness(id, 'alive')
      suspectedInSilence.clear()
    },
    hasLostAll: () => members.listOthers().length > 0 && isSilent(),
    handleResponse (number) {
      pending.get(number)?.cancel()
      pending.delete(number)
    },
    takeSequence,
    close () {
      for (const { cancel } of pending.values()) cancel()
    }
  }
}
