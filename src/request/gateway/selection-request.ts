/**
 * What the target selection needs to know of a request.
 */
import type { SelectionRequest } from '../../process/selection/target-search.ts'
import type { TargetId } from '../../types.ts'
import type { GatewayCall } from './gateway-call.ts'

/** Assumed work time until it has been measured, as a share of the latency target or of a shorter timeout. */
export const INITIAL_WORK_SHARE = 0.35
/** Penalty of targets in other zones by route kind; 1 is the penalty of a target whose slots are all taken. */
export const CROSS_ZONE_PENALTY = { download: 0.9, upload: 0.9, safe: 0.3, unsafe: 0.3 } as const

/** Describes a request for the target selection; `excluded` are the targets that earlier attempts used. */
export function createSelectionRequest (call: GatewayCall, excluded: ReadonlySet<TargetId>): SelectionRequest {
  const { route } = call
  return {
    customer: call.customer?.name,
    priority: call.priority,
    workMs: call.workMeter.getWorkMs(route.name, Math.min(route.targetLatencyMs, route.timeoutMs) * INITIAL_WORK_SHARE),
    latencyTargetAtMs: call.startedAtMs - call.waitedBeforeMs + route.targetLatencyMs,
    get deadlineAtMs () { return Math.min(call.deadlineAtMs, call.shutdown.getResponseByMs()) },
    crossZonePenalty: CROSS_ZONE_PENALTY[route.kind],
    excluded,
    isTrial: call.admission.isTrial(),
    isCallerGone: () => call.caller.isDisconnected()
  }
}
