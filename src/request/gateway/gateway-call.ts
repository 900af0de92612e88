/**
 * One request of a caller at a gateway, with everything that its attempts need.
 */
import type { RatioBudget } from '../balancing/ratio-budget.ts'
import type { CallerConnection } from '../caller-connection.ts'
import type { Clock } from '../../clock.ts'
import type { RequestPlace } from '../../connection/pipelined-requests.ts'
import type { ServiceHedging } from '../../process/gateway/service-hedging.ts'
import type { Shutdown } from '../../process/gateway/shutdown.ts'
import type { ServiceSelector } from '../../process/selection/service-selector.ts'
import type { WorkMeter } from '../../process/selection/work-meter.ts'
import type { TargetState } from '../../process/selection/target-states.ts'
import type { CrashFinding } from '../../connection/check-for-crash.ts'
import type { TargetNotices } from '../selection/target-notices.ts'
import type { RequestRecord } from './request-record.ts'
import type { RequestAdmission } from './request-admission.ts'
import type { BodyHolders } from '../body-holders.ts'
import type { RequestFingerprint } from '../request-fingerprint.ts'
import type { RequestId, ServiceId } from '../../types.ts'
import type { ConfigurationVersion, Route } from '../../version/configuration.ts'
import type { CustomerTerms } from '../../version/customer-keys.ts'

/** A service at a gateway, with its target selector and its retry budget. */
export interface GatewayService {
  name: ServiceId
  selector: ServiceSelector
  retryBudget: RatioBudget
  /** When requests of a route are hedged. */
  hedging: Pick<ServiceHedging, 'get'>
  /** Called when a response or a load probe shows that a target has been replaced. */
  handleLeaving(state: TargetState, evidence: string): void
  /** Called with what the target says about itself on the response to a request that was sent at `sentAtMs`. */
  recordNotices(state: TargetState, notices: TargetNotices, sentAtMs: number): void
  /** Makes sure that a crash of a target is noticed, although no request of this entry is in flight there. */
  watchTarget(state: TargetState): void
  /** Finds out why a target closed a connection without a response. */
  checkCrash(state: TargetState): Promise<CrashFinding>
}

/** One request. Instants by the monotonic clock in ms. */
export interface GatewayCall {
  id: RequestId
  route: Route
  /** Version of the configuration that was in effect when the request arrived. */
  version: ConfigurationVersion
  service: GatewayService
  /** The customer that holds the request's key; undefined without one. */
  customer: CustomerTerms | undefined
  /** Priority in the request queue; 0 is the most urgent. */
  priority: number
  method: string
  /** Path with query string. */
  path: string
  headers: Record<string, string>
  body: Uint8Array | undefined
  /** Who holds the memory of the body; undefined without one. */
  bodyHolders: BodyHolders | undefined
  startedAtMs: number
  /** How long the caller had waited before, in earlier attempts that were rejected, in ms; its latency target counts from the first. */
  waitedBeforeMs: number
  /** Deadline of the response: the earlier of the caller's deadline and the route's timeout. */
  deadlineAtMs: number
  caller: CallerConnection
  /** The place of the request in the order of its connection. */
  place: RequestPlace
  /** The shutdown of the process, which may end before the deadline. */
  shutdown: Shutdown
  /** Work times of all routes. */
  workMeter: WorkMeter
  clock: Clock
  /** Returns the fingerprint of the request; it is computed with the first call. */
  getFingerprint(): RequestFingerprint
  /** Decides whether attempts may be sent, when targets crashed while they ran this request. */
  admission: RequestAdmission
  /** Collects the data of the request's log line. */
  record: RequestRecord
}
