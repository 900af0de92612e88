/**
 * Load probe: queries the health endpoint of a target for its load, on a pooled connection.
 */
import type { Clock } from '../clock.ts'
import { decodeLoadReport, decodeTargetNotices, getInstanceId } from '../platform/wire-names.ts'
import { drainResponse } from '../request/drain-response.ts'
import { startExchange } from '../request/exchange.ts'
import type { ResponseHead, ExchangeRequest } from '../request/exchange.ts'
import type { LoadReport } from '../request/selection/load-report.ts'
import type { TargetNotices } from '../request/selection/target-notices.ts'
import { toBrand } from '../types.ts'
import type { RequestId, TargetId } from '../types.ts'
import type { TargetConnection } from './target-pool.ts'

const STATUS_OK = 200
const PROBE_REQUEST_ID = toBrand<RequestId>('look')

/** Result of a load probe. */
export type LoadProbeResult =
  /** The target is healthy and reported its load. */
  | { kind: 'load', report: LoadReport, notices: TargetNotices }
  /** The target is healthy, but its load is unreported. */
  | { kind: 'healthy', notices: TargetNotices }
  /** The target responded with another status than 200: it is leaving or failing. */
  | { kind: 'unhealthy', notices: TargetNotices }
  /** Another target responded at this address. */
  | { kind: 'replaced' }
  /** Connected, but no complete response came in time. */
  | { kind: 'silent' }
  /** No connection could be made. */
  | { kind: 'unreachable' }

/** Options of a load probe. */
export interface LoadProbeOptions {
  target: TargetId
  host: string
  path: string
  /** Timeout of the response's first byte, in ms. */
  timeoutMs: number
  clock: Clock
}

function toResult (target: TargetId, { status, headers }: ResponseHead): LoadProbeResult {
  const instance = getInstanceId(headers)
  if (instance !== undefined && instance !== target) return { kind: 'replaced' }
  const notices = decodeTargetNotices(status, headers)
  if (status !== STATUS_OK) return { kind: 'unhealthy', notices }
  const report = decodeLoadReport(headers)
  return report ? { kind: 'load', report, notices } : { kind: 'healthy', notices }
}

/** Sends a load probe. After a complete response the connection has been released and is known to be alive. Never rejects. */
export async function sendLoadProbe (connection: TargetConnection, options: LoadProbeOptions): Promise<LoadProbeResult> {
  const { target, host, path, timeoutMs, clock } = options
  const request: ExchangeRequest = {
    id: PROBE_REQUEST_ID,
    method: 'GET',
    path,
    headers: { host },
    body: undefined,
    firstByteTimeoutMs: timeoutMs,
    canSend: () => true,
    isMatchingResponse: (status: number, headers: ResponseHead['headers']) => status !== STATUS_OK || getInstanceId(headers) !== undefined
  }
  const exchange = startExchange(connection, request, clock)
  const head = await exchange.head
  if (head.isErr()) return { kind: exchange.wasSent() ? 'silent' : 'unreachable' }
  const isComplete = await drainResponse(exchange, clock)
  return isComplete ? toResult(target, head.value) : { kind: 'silent' }
}
