/**
 * One request of a caller at a gateway, with all that its attempts need.
 */
import type { RatioBudget } from '../balancing/ratio-budget.ts'
import type { CallerPresence } from '../caller-presence.ts'
import type { Clock } from '../../clock.ts'
import type { ServicePlacer } from '../../process/placement/service-placer.ts'
import type { WorkMeter } from '../../process/placement/work-meter.ts'
import type { TargetState } from '../../process/placement/target-states.ts'
import type { RequestRecord } from './request-record.ts'
import type { RequestId, ServiceId } from '../../types.ts'
import type { ConfigurationVersion, Route } from '../../version/configuration.ts'

/** A service at a gateway: where its requests are placed and what repeats it may still make. */
export interface GatewayService {
  name: ServiceId
  placer: ServicePlacer
  repeats: RatioBudget
  /** Told when an answer shows that a target is leaving or has been replaced. */
  handleLeaving(state: TargetState, evidence: string): void
}

/** One request. Instants by the monotonic clock in ms. */
export interface GatewayCall {
  id: RequestId
  route: Route
  /** The version of the configuration that it began with. */
  version: ConfigurationVersion
  service: GatewayService
  method: string
  /** Path with the query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array | undefined
  startedAtMs: number
  /** When it must have an answer: the earlier of the caller's deadline and the route's timeout. */
  endsAtMs: number
  caller: CallerPresence
  work: WorkMeter
  clock: Clock
  /** Filled in as the request goes, for its log line. */
  record: RequestRecord
}
