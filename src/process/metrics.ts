/**
 * Metrics of the process in the format of Prometheus, kept by prom-client in a separate registry.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { ErrorKind } from '../errors.ts'
import type { ExecutionStatus } from '../types.ts'
import type { PeerState } from './membership/peer-mesh.ts'

const MS_PER_SECOND = 1000
const LATENCY_BUCKETS_S = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

/** The label value for a customer or service that no contract lists; it keeps callers from creating label values without limit. */
export const UNLISTED = 'unlisted'

/** The customer and service of a request; both must come from a contract or be `UNLISTED`. */
export interface ServiceLabels { customer: string, service: string }

/** The result of a request; its fields are labels of the metric. */
export interface RequestEnd extends ServiceLabels {
  /** The execution status of the request. */
  fate: ExecutionStatus
  /** `relayed` for a response of a target, otherwise the kind of the error. */
  kind: ErrorKind | 'relayed'
}

/** Figures of one service. Those `at present` are gauges; the others are totals that only grow. */
export interface ServiceFigures extends ServiceLabels {
  /** Requests waiting for a target at present. */
  waiting: number
  /** Open connections to targets at present. */
  connections: number
  /** Targets by state at present. */
  targets: Record<string, number>
  /** Hedged requests sent. */
  hedges: number
  /** Retries sent. */
  retries: number
  /** Probes sent to targets. */
  probes: number
  /** Server time charged for the probes, in ms. */
  probeCostMs: number
}

/** Figures of the process, read when metrics are requested. */
export interface ProcessFigures {
  services: ServiceFigures[]
  peers: Record<PeerState, number>
  /** Open connections of callers, and requests in progress, at present. */
  callers: { connections: number, inProgress: number }
  claims: { keys: number, appends: number, unsettled: number }
  audit: { written: number, waiting: number, lost: number }
}

/** Metrics of one process. Times are given in ms and exported in seconds. */
export interface Metrics {
  /** Counts a finished request. */
  countRequest(end: RequestEnd): void
  /** Records the time from the header of a request to the end of its response. */
  recordLatency(labels: ServiceLabels, totalMs: number): void
  /** Registers the function that reads the figures each time the metrics are rendered. */
  watchFigures(read: () => Promise<ProcessFigures>): void
  /** Renders all metrics in the text format of Prometheus. */
  renderText(): Promise<{ contentType: string, text: string }>
}

/** Options of the metrics. */
export interface MetricsOptions {
  /** Whether to export CPU time, memory and event loop delay of the process; true by default. */
  hasProcessFigures?: boolean
}

const SERVICE_LABELS = ['customer', 'service'] as const

function createRequestMetrics (registers: Registry[]) {
  return {
    requests: new Counter({ name: 'medlarcove_requests_total', help: 'Requests answered, by fate and kind.', labelNames: [...SERVICE_LABELS, 'fate', 'kind'], registers }),
    latency: new Histogram({ name: 'medlarcove_request_seconds', help: 'Time from the header of a request to the end of its answer.', labelNames: SERVICE_LABELS, buckets: LATENCY_BUCKETS_S, registers })
  }
}

function createServiceMetrics (registers: Registry[]) {
  return {
    waiting: new Gauge({ name: 'medlarcove_requests_waiting', help: 'Requests waiting for a target.', labelNames: SERVICE_LABELS, registers }),
    connections: new Gauge({ name: 'medlarcove_target_connections', help: 'Open connections to targets.', labelNames: SERVICE_LABELS, registers }),
    targets: new Gauge({ name: 'medlarcove_targets', help: 'Targets, by state.', labelNames: [...SERVICE_LABELS, 'state'], registers }),
    hedges: new Counter({ name: 'medlarcove_hedges_total', help: 'Repeatable requests sent to a second target.', labelNames: SERVICE_LABELS, registers }),
    retries: new Counter({ name: 'medlarcove_retries_total', help: 'Requests tried again after a failure.', labelNames: SERVICE_LABELS, registers }),
    probes: new Counter({ name: 'medlarcove_probes_total', help: 'Probes sent to targets.', labelNames: SERVICE_LABELS, registers }),
    probeCost: new Counter({ name: 'medlarcove_measuring_cost_seconds_total', help: 'Server time charged for measuring.', labelNames: SERVICE_LABELS, registers })
  }
}

function createProcessMetrics (registers: Registry[]) {
  return {
    peers: new Gauge({ name: 'medlarcove_peers', help: 'Known entries, by state.', labelNames: ['state'], registers }),
    callerConnections: new Gauge({ name: 'medlarcove_caller_connections', help: 'Open connections of callers.', registers }),
    inProgress: new Gauge({ name: 'medlarcove_requests_in_progress', help: 'Requests in progress.', registers }),
    claimKeys: new Gauge({ name: 'medlarcove_claim_keys', help: 'Keys remembered.', registers }),
    claimsUnsettled: new Gauge({ name: 'medlarcove_claims_unsettled', help: 'Claims whose append is not settled yet.', registers }),
    claimAppends: new Counter({ name: 'medlarcove_claim_appends_total', help: 'Appends to the log for claims.', registers }),
    auditWritten: new Counter({ name: 'medlarcove_audit_events_total', help: 'Events written to the audit stream.', registers }),
    auditLost: new Counter({ name: 'medlarcove_audit_events_lost_total', help: 'Events lost because the audit buffer was full.', registers })
  }
}

/** Adds a total that another part counts to a counter that was reset before. */
function setTotal (counter: Counter, total: number, labels: Record<string, string> = {}): void {
  counter.inc(labels, total)
}

function setServiceFigures (metrics: ReturnType<typeof createServiceMetrics>, figures: readonly ServiceFigures[]): void {
  for (const metric of Object.values(metrics)) metric.reset()
  for (const { customer, service, ...figure } of figures) {
    const labels = { customer, service }
    metrics.waiting.set(labels, figure.waiting)
    metrics.connections.set(labels, figure.connections)
    for (const [state, count] of Object.entries(figure.targets)) metrics.targets.set({ ...labels, state }, count)
    setTotal(metrics.hedges, figure.hedges, labels)
    setTotal(metrics.retries, figure.retries, labels)
    setTotal(metrics.probes, figure.probes, labels)
    setTotal(metrics.probeCost, figure.probeCostMs / MS_PER_SECOND, labels)
  }
}

function setProcessFigures (metrics: ReturnType<typeof createProcessMetrics>, figures: ProcessFigures): void {
  for (const metric of Object.values(metrics)) metric.reset()
  for (const [state, count] of Object.entries(figures.peers)) metrics.peers.set({ state }, count)
  metrics.callerConnections.set(figures.callers.connections)
  metrics.inProgress.set(figures.callers.inProgress)
  metrics.claimKeys.set(figures.claims.keys)
  metrics.claimsUnsettled.set(figures.claims.unsettled)
  setTotal(metrics.claimAppends, figures.claims.appends)
  setTotal(metrics.auditWritten, figures.audit.written)
  setTotal(metrics.auditLost, figures.audit.lost)
}

/** Creates the metrics of one process. */
export function createMetrics (options: MetricsOptions = {}): Metrics {
  const register = new Registry()
  const perRequest = createRequestMetrics([register])
  const perService = createServiceMetrics([register])
  const perProcess = createProcessMetrics([register])
  let readFigures: (() => Promise<ProcessFigures>) | undefined
  if (options.hasProcessFigures ?? true) collectDefaultMetrics({ register })
  return {
    countRequest: (end) => perRequest.requests.inc({ ...end }),
    recordLatency: ({ customer, service }, totalMs) => perRequest.latency.observe({ customer, service }, totalMs / MS_PER_SECOND),
    watchFigures (read) { readFigures = read },
    async renderText () {
      const figures = await readFigures?.()
      if (figures) {
        setServiceFigures(perService, figures.services)
        setProcessFigures(perProcess, figures)
      }
      return { contentType: register.contentType, text: await register.metrics() }
    }
  }
}
