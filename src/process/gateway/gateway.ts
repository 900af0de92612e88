/**
 * An entry on the users' platform, from start to stop.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { startLatenessWatch } from '../lateness-watch.ts'
import { computeCapacity } from './entry-capacity.ts'
import { ADDRESS_LIFETIME_MS, createParts } from './gateway-parts.ts'
import { applyMembershipChanges, publishStatus } from './gateway-peers.ts'
import type { GatewaySettings } from './gateway-settings.ts'
import type { GatewayOptions, GatewayParts } from './gateway-types.ts'

/** A running gateway. */
export interface Gateway {
  /**
   * Shuts down gracefully: withdraws this entry from the addresses for callers, serves until callers use other entries,
   * and closes. Resolves when the process may exit; further calls resolve together with the first one.
   */
  stop(reason: string): Promise<void>
  /** Closes at once, without waiting for callers. */
  close(): Promise<void>
  /** Applies changed settings; the addresses of listeners stay as they were at the start. */
  reload(settings: BootSettings): void
  /** Applies the operator's settings. */
  applySettings(settings: GatewaySettings): void
  /** Returns the number of requests in progress. */
  countInProgress(): number
}

/** Some callers keep the entry addresses for this many times their lifetime, and a shutdown must outlast that. */
const CACHE_TIME_FACTOR = 3
const MAINTENANCE_INTERVAL_MS = 100
/** The process ends this long before the end of the grace period, when the platform would kill it, in ms. */
const KILL_MARGIN_MS = 500
const STOP_POLL_MS = 50

/** Waits until callers use other entries and have all responses, but no longer than the grace period allows. */
async function waitForCallers (parts: GatewayParts): Promise<void> {
  const { clock, settings, requests, closes } = parts
  const startedAtMs = clock.monotonicMs()
  const latestEndAtMs = startedAtMs + settings.graceMs - KILL_MARGIN_MS
  parts.shutdown.start(latestEndAtMs)
  const callersGoneAtMs = startedAtMs + ADDRESS_LIFETIME_MS * CACHE_TIME_FACTOR + MAINTENANCE_INTERVAL_MS
  for (;;) {
    const nowMs = clock.monotonicMs()
    const isIdle = requests.countInProgress() === 0 && closes.count() === 0
    if (nowMs >= latestEndAtMs || (nowMs >= callersGoneAtMs && isIdle)) return
    await clock.wait(STOP_POLL_MS)
  }
}

async function stopParts (parts: GatewayParts, reason: string): Promise<void> {
  const { clock, log, requests, closes } = parts
  const startedAtMs = clock.monotonicMs()
  log.info('Stopping.', { reason, inProgress: requests.countInProgress() })
  publishStatus(parts)
  requests.closeAfterResponses()
  await waitForCallers(parts)
  log.info('Stopped.', { reason, inProgress: requests.countInProgress(), closingConnections: closes.count(), tookMs: Math.round(clock.monotonicMs() - startedAtMs) })
}

/** Checks whether this entry can reach the targets; callers are sent to other entries while it cannot. */
function updateCutOff (parts: GatewayParts): void {
  parts.reachChecks.runMaintenance()
  const cutOff = parts.reachChecks.getCutOff()
  if (cutOff === parts.cutOff) return
  parts.cutOff = cutOff
  if (cutOff === 'none') parts.log.warn('No longer cut off from targets.')
  else parts.log.warn('Cut off from targets: callers are sent to other entries.', { extent: cutOff, because: 'other entries reach them' })
}

/** Closes everything that the gateway holds open. */
async function closeParts (parts: GatewayParts): Promise<void> {
  parts.servers.close()
  parts.closes.closeAll()
  parts.shutdown.close()
  parts.metrics.close()
  parts.followers.close()
  parts.contacts.close()
  parts.state.close()
  await parts.membership.close()
  await parts.store.close()
}

/** Starts a gateway. Errors: `settings-invalid` when it cannot listen on an address of the settings. */
export async function startGateway (options: GatewayOptions): Promise<Result<Gateway, AppError>> {
  const { settings, clock } = options
  const parts = createParts(options)
  const { log, state, followers } = parts
  const joined = await parts.membership.start()
  if (joined.isErr()) return err(joined.error)
  // The store is read while the listeners start.
  followers.start()
  parts.contacts.start()
  const listening = await parts.servers.start()
  if (listening.isErr()) return err(listening.error)
  const metrics = await parts.servers.startMetrics()
  if (metrics.isErr()) log.warn('Metrics are not served.', { error: metrics.error.message })
  const maintenance = setInterval(() => {
    applyMembershipChanges(parts)
    state.removeExpired(followers.hasLostTargets())
    updateCutOff(parts)
    publishStatus(parts)
    parts.quarantine.runMaintenance()
    parts.quotas.runMaintenance()
  }, MAINTENANCE_INTERVAL_MS)
  const stopWatching = startLatenessWatch({
    clock,
    handleTick: parts.membership.runTick,
    handleChange (isBusy, latenessMs) {
      log.warn(isBusy ? 'Overloaded: callers are sent to other entries.' : 'No longer overloaded.', { latenessMs: Math.round(latenessMs) })
      parts.isBusy = isBusy
      publishStatus(parts)
    }
  })
  log.info('Started.', { entry: settings.entry, zone: settings.zone, incarnation: parts.incarnation, capacity: computeCapacity(settings) })
  const close = async (): Promise<void> => {
    clearInterval(maintenance)
    stopWatching()
    await closeParts(parts)
  }
  const runStop = async (reason: string): Promise<void> => {
    parts.isStopping = true
    await stopParts(parts, reason)
    await close()
  }
  let stopping: Promise<void> | undefined
  return ok({
    stop (reason) {
      stopping ??= runStop(reason)
      return stopping
    },
    close,
    reload (next) {
      parts.settings = next
      log.info('Reloaded the settings.', { drainMs: next.drainMs, graceMs: next.graceMs, looksPerSecond: next.maxLoadProbesPerSecond })
    },
    applySettings ({ hedging }) {
      parts.state.updateMaxHedgeShare(hedging?.maxExtraShare)
      log.info('Applied the settings.', { maxExtraShare: hedging?.maxExtraShare })
    },
    countInProgress: parts.requests.countInProgress
  })
}
