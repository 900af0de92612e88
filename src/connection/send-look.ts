/**
 * One look at a target's health endpoint on a kept connection, for the load that it tells there.
 */
import type { Clock } from '../clock.ts'
import { decodeLoad, getInstanceId } from '../platform/wire-names.ts'
import { startExchange } from '../request/exchange.ts'
import type { AnswerHead, Exchange } from '../request/exchange.ts'
import type { LoadReport } from '../request/placement/load-report.ts'
import { toBrand } from '../types.ts'
import type { RequestId, TargetId } from '../types.ts'
import type { TargetConnection } from './target-pool.ts'

const STATUS_OK = 200
const LOOK_ID = toBrand<RequestId>('look')

/** What a look found. */
export type LookResult =
  | { kind: 'load', report: LoadReport }
  /** Healthy, but it tells no load. */
  | { kind: 'healthy' }
  /** It says that it is leaving or failing. */
  | { kind: 'unhealthy' }
  /** Another target has the address now. */
  | { kind: 'replaced' }
  /** Connected, but no answer in time. */
  | { kind: 'silent' }
  /** No connection could be made. */
  | { kind: 'unreachable' }

/** How to look. */
export interface LookOptions {
  target: TargetId
  host: string
  path: string
  /** The longest wait for the answer, in ms. */
  timeoutMs: number
  clock: Clock
}

/** Lets the rest of an answer pass, so that the connection can be used again; resolves false when it broke. */
function finishAnswer (exchange: Exchange): Promise<boolean> {
  return new Promise((resolve) => {
    exchange.pipe({ write: () => true, end: () => resolve(true), fail: () => resolve(false) })
  })
}

function toResult (target: TargetId, { status, headers }: AnswerHead): LookResult {
  const instance = getInstanceId(headers)
  if (instance !== undefined && instance !== target) return { kind: 'replaced' }
  if (status !== STATUS_OK) return { kind: 'unhealthy' }
  const report = decodeLoad(headers)
  return report ? { kind: 'load', report } : { kind: 'healthy' }
}

/** Sends a look. When it succeeds the connection has been released, and was alive just now. Never rejects. */
export async function sendLook (connection: TargetConnection, options: LookOptions): Promise<LookResult> {
  const { target, host, path, timeoutMs, clock } = options
  const request = {
    id: LOOK_ID,
    method: 'GET',
    path,
    headers: { host },
    body: undefined,
    firstByteTimeoutMs: timeoutMs,
    canSend: () => true,
    isOwnAnswer: (status: number, headers: AnswerHead['headers']) => status !== STATUS_OK || getInstanceId(headers) !== undefined
  }
  const exchange = startExchange(connection, request, clock)
  const head = await exchange.head
  if (head.isErr()) return { kind: exchange.wasSent() ? 'silent' : 'unreachable' }
  const isWhole = await finishAnswer(exchange)
  return isWhole ? toResult(target, head.value) : { kind: 'silent' }
}
