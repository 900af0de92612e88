/**
 * Types that the modules of a gateway share.
 */
import type { Clock } from '../../clock.ts'
import type { LingeringCloses } from '../../connection/lingering-close.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import type { Incarnation } from '../../types.ts'
import type { ByteBudget } from '../byte-budget.ts'
import type { Logger, PartLogger } from '../logger.ts'
import type { QuotaLimiter } from '../quotas/quota-limiter.ts'
import type { RequestQuarantine } from '../quarantine/request-quarantine.ts'
import type { CutOff, ReachChecks } from '../selection/reach-checks.ts'
import type { TargetLimiter } from '../target-limits/target-limiter.ts'
import type { DeferredMetrics } from './deferred-metrics.ts'
import type { EntryContacts } from './entry-contacts.ts'
import type { GatewayFollowers } from './gateway-followers.ts'
import type { GatewayMembership } from './gateway-membership.ts'
import type { GatewayRequests } from './gateway-requests.ts'
import type { GatewayServers } from './gateway-servers.ts'
import type { GatewayState } from './gateway-state.ts'
import type { Shutdown } from './shutdown.ts'

/** Options of a gateway. */
export interface GatewayOptions {
  settings: BootSettings
  clock: Clock
  logger: Logger
  random?: () => number
  /** Returns how many log lines have been dropped, for the metrics. */
  countDroppedLines?(): number
  /** Port of the metrics; `METRICS_PORT` when left out. */
  metricsPort?: number
}

/** What a gateway consists of. */
export interface GatewayParts {
  settings: BootSettings
  clock: Clock
  random: () => number
  logger: Logger
  log: PartLogger
  incarnation: Incarnation
  store: StoreClient
  contacts: EntryContacts
  membership: GatewayMembership
  limiter: TargetLimiter
  quotas: QuotaLimiter
  quarantine: RequestQuarantine
  reachChecks: ReachChecks
  state: GatewayState
  requests: GatewayRequests
  metrics: DeferredMetrics
  followers: GatewayFollowers
  servers: GatewayServers
  startedAtMs: number
  isStopping: boolean
  /** Whether this process is overloaded, by the lateness of its event loop. */
  isBusy: boolean
  /** From which services the network of this entry is cut off. */
  cutOff: CutOff
  /** Whether a member has appeared, changed or is gone since `applyMembershipChanges` was last called. */
  hasMembershipChanged: boolean
  shutdown: Shutdown
  /** What the memory of request bodies is taken from. */
  bodyBudget: ByteBudget
  /** Connections of callers that close. */
  closes: LingeringCloses
}
