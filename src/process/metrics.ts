/**
 * Metrics of the process, by prom-client in a registry of its own.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { ErrorKind } from '../errors.ts'
import type { Fate } from '../types.ts'
import type { PeerState } from './membership/peer-mesh.ts'

const MS_PER_SECOND = 1000
const LATENCY_BUCKETS_S = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]
const ADDED_BUCKETS_S = [0.0001, 0.0002, 0.0005, 0.001, 0.0019, 0.005, 0.01, 0.05, 0.2, 1]
const PEER_STATES: readonly PeerState[] = ['live', 'suspect', 'leaving', 'gone']

/** The label for a customer or service that no contract lists, so that callers cannot add labels. */
export const UNLISTED = 'unlisted'

/** Whose request it is; both must come from a contract, or be `UNLISTED`. */
export interface ServiceLabels { customer: string, service: string }

/** How a request ended. */
export interface RequestEnd extends ServiceLabels {
  fate: Fate
  /** `relayed` for an answer of a target, else the kind of the error. */
  kind: ErrorKind | 'relayed'
}

/** What came of an append to the log. */
export type AppendOutcome = 'taken' | 'refused' | 'unknown'

/** Figures of one process. Times are in ms and are exported in seconds. */
export interface Metrics {
  countRequest(end: RequestEnd): void
  /** Notes the time from the header of a request to the end of its answer. */
  recordLatency(labels: ServiceLabels, totalMs: number): void
  /** Notes the part of that time that was spent outside the target. */
  recordAddedTime(labels: ServiceLabels, addedMs: number): void
  /** Adds one to the requests in progress; the returned function takes it off again. */
  startRequest(labels: ServiceLabels): () => void
  /** Notes probes and what they cost the targets. */
  countProbes(labels: ServiceLabels, count: number, costMs: number): void
  countHedge(labels: ServiceLabels): void
  countRetry(labels: ServiceLabels): void
  countAppend(stream: string, outcome: AppendOutcome): void
  countEvent(part: string, event: string): void
  setPeers(counts: Readonly<Record<PeerState, number>>): void
  setConnections(side: 'callers' | 'targets' | 'peers', count: number): void
  /** Renders everything in the text format of Prometheus. */
  renderText(): Promise<{ contentType: string, text: string }>
}

/** How to create metrics. */
export interface MetricsOptions {
  /** Whether to export processor time, memory and event loop delay of the process; true when left out. */
  hasProcessFigures?: boolean
}

function createServiceMetrics (registers: Registry[]) {
  const service = ['customer', 'service'] as const
  return {
    requests: new Counter({ name: 'medlarcove_requests_total', help: 'Requests answered, by fate and kind.', labelNames: [...service, 'fate', 'kind'], registers }),
    latency: new Histogram({ name: 'medlarcove_request_seconds', help: 'Time from the header of a request to the end of its answer.', labelNames: service, buckets: LATENCY_BUCKETS_S, registers }),
    added: new Histogram({ name: 'medlarcove_added_seconds', help: 'Time of a request spent outside the target.', labelNames: service, buckets: ADDED_BUCKETS_S, registers }),
    inProgress: new Gauge({ name: 'medlarcove_requests_in_progress', help: 'Requests in progress.', labelNames: service, registers }),
    probes: new Counter({ name: 'medlarcove_probes_total', help: 'Probes sent to targets.', labelNames: service, registers }),
    probeCost: new Counter({ name: 'medlarcove_measuring_cost_seconds_total', help: 'Server time charged for measuring.', labelNames: service, registers }),
    hedges: new Counter({ name: 'medlarcove_hedges_total', help: 'Repeatable requests sent to a second target.', labelNames: service, registers }),
    retries: new Counter({ name: 'medlarcove_retries_total', help: 'Requests tried again after a failure.', labelNames: service, registers })
  }
}

function createProcessMetrics (registers: Registry[]) {
  return {
    appends: new Counter({ name: 'medlarcove_log_appends_total', help: 'Appends to the log, by outcome.', labelNames: ['stream', 'outcome'], registers }),
    events: new Counter({ name: 'medlarcove_events_total', help: 'Events that a part counted.', labelNames: ['part', 'event'], registers }),
    peers: new Gauge({ name: 'medlarcove_peers', help: 'Known entries, by state.', labelNames: ['state'], registers }),
    connections: new Gauge({ name: 'medlarcove_connections', help: 'Open connections, by side.', labelNames: ['side'], registers })
  }
}

/** Creates the metrics of one process. */
export function createMetrics (options: MetricsOptions = {}): Metrics {
  const register = new Registry()
  const perService = createServiceMetrics([register])
  const perProcess = createProcessMetrics([register])
  if (options.hasProcessFigures ?? true) collectDefaultMetrics({ register })
  return {
    countRequest: (end) => perService.requests.inc({ ...end }),
    recordLatency: ({ customer, service }, totalMs) => perService.latency.observe({ customer, service }, totalMs / MS_PER_SECOND),
    recordAddedTime: ({ customer, service }, addedMs) => perService.added.observe({ customer, service }, addedMs / MS_PER_SECOND),
    startRequest ({ customer, service }) {
      let isOpen = true
      perService.inProgress.inc({ customer, service })
      return () => {
        if (!isOpen) return
        isOpen = false
        perService.inProgress.dec({ customer, service })
      }
    },
    countProbes ({ customer, service }, count, costMs) {
      perService.probes.inc({ customer, service }, count)
      perService.probeCost.inc({ customer, service }, costMs / MS_PER_SECOND)
    },
    countHedge: ({ customer, service }) => perService.hedges.inc({ customer, service }),
    countRetry: ({ customer, service }) => perService.retries.inc({ customer, service }),
    countAppend: (stream, outcome) => perProcess.appends.inc({ stream, outcome }),
    countEvent: (part, event) => perProcess.events.inc({ part, event }),
    setPeers: (counts) => { for (const state of PEER_STATES) perProcess.peers.set({ state }, counts[state]) },
    setConnections: (side, count) => perProcess.connections.set({ side }, count),
    renderText: async () => ({ contentType: register.contentType, text: await register.metrics() })
  }
}
