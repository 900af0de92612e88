/**
 * What connects a gateway to the other entries: the membership, the messages that ride on it, the shared reads of the store,
 * and the parts that depend on which entries are live.
 */
import type { BootSettings } from '../../platform/boot-file.ts'
import type { EntryId } from '../../types.ts'
import type { SharedReading } from '../discovery/shared-reading.ts'
import type { MemberRecord } from '../gossip/member-record.ts'
import type { PeerMessaging } from '../peer-messaging.ts'
import { createRequestQuarantine } from '../quarantine/request-quarantine.ts'
import type { RequestQuarantine } from '../quarantine/request-quarantine.ts'
import { createQuotaLimiter } from '../quotas/quota-limiter.ts'
import type { QuotaLimiter } from '../quotas/quota-limiter.ts'
import { createReachChecks } from '../selection/reach-checks.ts'
import type { ReachChecks } from '../selection/reach-checks.ts'
import { createTargetLimiter } from '../target-limits/target-limiter.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import { computeCapacity } from './entry-capacity.ts'
import { createEntryContacts } from './entry-contacts.ts'
import type { EntryContacts } from './entry-contacts.ts'
import { createGatewayMembership } from './gateway-membership.ts'
import type { GatewayMembership } from './gateway-membership.ts'
import type { GatewayMessage } from './gateway-messages.ts'
import type { GatewayParts } from './gateway-types.ts'
import { createSharedReads, selectReader } from './shared-reads.ts'

/** Share of the allowed load probes and retry burst that is used. */
export const USED_SHARE = 0.8
/** The retry burst allowed over all entries is divided by the number of live entries, but at least by this. */
const MIN_SHARING_ENTRIES = 10
/** At the first start of all entries no caller waits: they find each other within this time, and then one reads for all, in ms. */
const FIRST_JOIN_MS = 1_500

function createSelf (settings: BootSettings, run: number): MemberRecord {
  return {
    id: settings.entry,
    zone: settings.zone,
    address: settings.address,
    port: settings.listen.front.port,
    peerPort: settings.internalPorts[0],
    run,
    version: 0,
    capacity: computeCapacity(settings),
    status: { isReady: false, isLeaving: false, isBusy: false, canReadStore: true, isCutOff: false, isPartlyCutOff: false }
  }
}

/** Computes the retry burst of one entry for a service: at least 1. */
export function computeMaxRetryTokens ({ retryBudget }: BootSettings, entryCount: number): number {
  return Math.max(1, Math.floor(retryBudget.slack * USED_SHARE / Math.max(MIN_SHARING_ENTRIES, entryCount)))
}

/** Whether the other entries are known by now. */
function hasJoined ({ clock, settings, startedAtMs }: GatewayParts): boolean {
  return !settings.isFirstStart || clock.monotonicMs() - startedAtMs >= FIRST_JOIN_MS
}

/** Creates the sharing of reads with the other entries. */
export function createSharing (parts: GatewayParts): Omit<SharedReading, 'silentAfterMs'> {
  const { settings, membership } = parts
  return createSharedReads({
    self: settings.entry,
    listEntries: () => membership.listMembers(),
    hasJoined: () => hasJoined(parts),
    publish: (range) => membership.broadcast({ type: 'topic-range', range })
  })
}

/** Applies a message of another entry. */
function applyMessage (parts: GatewayParts, from: EntryId, message: GatewayMessage): void {
  switch (message.type) {
    case 'target-leaving': return parts.state.markLeaving(message.target, message.bornMs)
    case 'topic-range': return parts.followers.find(message.range.topic)?.applyShared(message.range)
    case 'target-limit':
    case 'permit-request':
    case 'permit-response': return parts.limiter.handleMessage(from, message)
    case 'quota-request':
    case 'quota-response':
    case 'quota-handover': return parts.quotas.handleMessage(from, message)
    case 'reach-request':
    case 'reach-response': return parts.reachChecks.handleMessage(from, message)
    // All others are messages of the quarantine; the compiler makes sure of it.
    default: return parts.quarantine.handleMessage(from, message)
  }
}

/** Returns what a part needs to exchange messages with the same part of the other entries. */
function createMessaging (parts: GatewayParts): PeerMessaging<GatewayMessage> {
  const { settings, clock, random } = parts
  return {
    self: settings.entry,
    clock,
    random,
    send: (to, message) => parts.membership.sendTo(to, message),
    broadcast: (message) => parts.membership.broadcast(message)
  }
}

/** Creates the limiter that shares the rate limits of targets. */
export function createLimiter (parts: GatewayParts): TargetLimiter {
  return createTargetLimiter({ ...createMessaging(parts), logger: parts.log, getColdPerSecond: (target) => parts.state.getColdPerSecond(target) })
}

/** Creates the limiter that shares the quotas of customers. */
export function createQuotas (parts: GatewayParts): QuotaLimiter {
  return createQuotaLimiter({
    ...createMessaging(parts),
    logger: parts.logger.forPart('quotas'),
    tolerance: parts.settings.quotaTolerance,
    isIsolated: () => parts.membership.hasLostAll()
  })
}

/** Creates the quarantine of requests that crash targets. */
export function createQuarantine (parts: GatewayParts): RequestQuarantine {
  return createRequestQuarantine({ ...createMessaging(parts), logger: parts.logger.forPart('quarantine') })
}

/** Lists the other entries that serve callers; those that are not cut off from targets themselves, if there are any. */
function listHelpers ({ membership }: GatewayParts): EntryId[] {
  const live = membership.listMembers().filter(({ isSelf, state, status }) => !isSelf && state === 'live' && status.isReady)
  const connected = live.filter(({ status }) => !status.isCutOff && !status.isPartlyCutOff)
  return (connected.length > 0 ? connected : live).map(({ id }) => id)
}

/** Creates the checks of whether targets, or the network of this entry, have failed. */
export function createReachChecksOf (parts: GatewayParts): ReachChecks {
  const { state } = parts
  return createReachChecks({
    ...createMessaging(parts),
    listServices: state.listServices,
    getService: state.getService,
    listHelpers: () => listHelpers(parts)
  })
}

/** Creates the membership; it does nothing before its start. */
export function createMembership (parts: GatewayParts, run: number): GatewayMembership {
  const { settings, clock, random, logger } = parts
  return createGatewayMembership({
    self: createSelf(settings, run),
    peerKey: `medlarcove ${settings.store.address}:${settings.store.port}`,
    clock,
    random,
    logger: logger.forPart('peers'),
    getProgress: () => parts.followers.getProgress(),
    handleProgress: (progress) => parts.followers.applyProgress(progress),
    handleMessage: (from, message) => applyMessage(parts, from, message),
    handleChange: () => { parts.hasMembershipChanged = true }
  })
}

/** Applies changes of the membership to what depends on the other entries. Call it periodically. */
export function applyMembershipChanges (parts: GatewayParts): void {
  if (!parts.hasMembershipChanged) return
  parts.hasMembershipChanged = false
  const { settings, membership, state, limiter, quotas, quarantine } = parts
  state.updateMaxRetryTokens(computeMaxRetryTokens(settings, membership.countMembers()))
  limiter.updateEntries(membership.listMembers())
  quotas.updateEntries(membership.listMembers())
  quarantine.updateEntries(membership.listMembers())
}

/** Whether this entry serves callers. */
export function isReady ({ isStopping, state }: GatewayParts): boolean {
  return !isStopping && state.getInEffect() !== undefined && state.hasReadTargets()
}

/** Announces the status of this entry if it has changed. */
export function publishStatus (parts: GatewayParts): void {
  const { membership, followers, isBusy, cutOff, isStopping } = parts
  membership.setStatus({
    isReady: isReady(parts),
    isLeaving: isStopping,
    isBusy,
    canReadStore: !followers.hasLostStore(),
    isCutOff: cutOff === 'total',
    isPartlyCutOff: cutOff === 'partial'
  })
}

/** Creates the search for other entries in the store. */
export function createContacts (parts: GatewayParts, run: number): EntryContacts {
  const { settings, store, clock, random, logger, membership } = parts
  return createEntryContacts({
    self: createSelf(settings, run),
    store,
    clock,
    random,
    logger: logger.forPart('directory'),
    isFirstStart: settings.isFirstStart,
    hasPeers: () => membership.countMembers() > 1,
    isReader: () => hasJoined(parts) && selectReader(membership.listMembers()) === settings.entry,
    handleContacts: (contacts) => membership.addContacts(contacts)
  })
}
