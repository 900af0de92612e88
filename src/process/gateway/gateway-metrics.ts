/**
 * Metrics of a gateway in the Prometheus format: requests, attempts, load probes, targets and the store.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { DatagramCounts } from '../../connection/datagram-socket.ts'
import type { PipeliningCounts } from '../../connection/pipelined-requests.ts'
import type { RequestRecord } from '../../request/gateway/request-record.ts'
import type { QuarantineCounts } from '../quarantine/request-quarantine.ts'
import type { QuotaCounts } from '../quotas/quota-limiter.ts'
import type { LimiterCounts } from '../target-limits/target-limiter.ts'
import type { CutOff } from '../selection/reach-checks.ts'
import type { ServiceMetrics } from './gateway-services.ts'

const MS_PER_SECOND = 1000
/** Priorities from this one on share a label. */
const MAX_PRIORITY_LABEL = 4
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5]

/** Values that are read at each scrape. */
export interface GatewayMetricValues {
  services: readonly ServiceMetrics[]
  /** Calls to the store since the start. */
  store: { reads: number, appends: number, failures: number, receivedBytes: number }
  /** Highest epoch that the store has stated; 0 for none. */
  storeEpoch: number
  /** Version of the configuration in effect; 0 for none. */
  version: number
  isReady: boolean
  /** From which services the network of this entry is cut off. */
  cutOff: CutOff
  /** What this entry can take, in cores of normal speed. */
  capacity: number
  /** Zones whose targets get no requests, since the operator asks for that. */
  evacuatedZones: number
  limiter: LimiterCounts
  quotas: QuotaCounts
  quarantine: QuarantineCounts
  /** Crashes of targets found since the start. */
  targetCrashes: number
  liveEntries: number
  /** Datagrams between entries since the start. */
  datagrams: Pick<DatagramCounts, 'sent' | 'received' | 'refused' | 'failed'>
  droppedLogLines: number
  inProgress: number
  /** Memory that request bodies take, in bytes. */
  bodyBytes: number
  pipelining: PipeliningCounts
  /** Connections that are closed for sending and wait for their callers. */
  closingConnections: number
}

/** Metrics of one gateway. */
export interface GatewayMetrics {
  /** Counts a request that has ended, with its attempts. */
  recordRequest(record: RequestRecord): void
  /** Renders all metrics in the Prometheus text format. */
  renderText(values: GatewayMetricValues): Promise<{ contentType: string, text: string }>
}

function createGauges (registers: Registry[]) {
  const labelNames = ['service'] as const
  return {
    waiting: new Gauge({ name: 'medlarcove_requests_waiting', help: 'Requests waiting for a target.', labelNames, registers }),
    targets: new Gauge({ name: 'medlarcove_targets', help: 'Targets that may take requests.', labelNames, registers }),
    loadProbes: new Gauge({ name: 'medlarcove_looks_total', help: 'Looks at health endpoints.', labelNames, registers }),
    queued: new Gauge({ name: 'medlarcove_queued_total', help: 'Requests that waited for a target.', labelNames, registers }),
    rejected: new Gauge({ name: 'medlarcove_refused_total', help: 'Requests for which no target was found.', labelNames, registers }),
    waitingByPriority: new Gauge({ name: 'medlarcove_requests_waiting_by_priority', help: 'Requests waiting for a target, by priority; beyond-share: those of customers that ask far more than usual.', labelNames: ['service', 'priority'], registers }),
    customers: new Gauge({ name: 'medlarcove_customers', help: 'Customers that were served or rejected in the last seconds.', labelNames: ['service', 'outcome'], registers }),
    largestRejectedShare: new Gauge({ name: 'medlarcove_largest_rejected_share', help: 'Share of the rejections of the last seconds that fell on the customer with most of them.', labelNames, registers }),
    retries: new Gauge({ name: 'medlarcove_repeats_total', help: 'Attempts beyond the first.', labelNames, registers }),
    hedges: new Gauge({ name: 'medlarcove_hedges_total', help: 'Hedges within the limit of the settings; won: those that responded first.', labelNames: ['service', 'outcome'], registers }),
    scarceSearches: new Gauge({ name: 'medlarcove_scarce_looks_total', help: 'Searches for a target while few load probes were left, so that they were sent one at a time.', labelNames, registers }),
    storeCalls: new Gauge({ name: 'medlarcove_store_calls_total', help: 'Calls to the store.', labelNames: ['kind'], registers }),
    storeBytes: new Gauge({ name: 'medlarcove_store_received_bytes_total', help: 'Bytes read from the store.', registers }),
    storeEpoch: new Gauge({ name: 'medlarcove_store_epoch', help: 'Epoch of the store: one more each time it was restored from a copy.', registers }),
    version: new Gauge({ name: 'medlarcove_configuration_version', help: 'Version of the configuration in force.', registers }),
    ready: new Gauge({ name: 'medlarcove_ready', help: '1 while the entry is ready.', registers }),
    cutOff: new Gauge({ name: 'medlarcove_cut_off', help: '1 while the entry is cut off from targets that other entries reach, by extent: of some services (partial), or of all (total).', labelNames: ['extent'], registers }),
    capacity: new Gauge({ name: 'medlarcove_entry_capacity_cores', help: 'What this entry can take, in cores of normal speed; callers are told to use the entries in proportion to it.', registers }),
    evacuatedZones: new Gauge({ name: 'medlarcove_evacuated_zones', help: 'Zones that the operator has asked to evacuate: their targets get no requests.', registers }),
    limitedTargets: new Gauge({ name: 'medlarcove_limited_targets', help: 'Targets that advertise a rate limit, as far as this entry knows.', registers }),
    coldTargets: new Gauge({ name: 'medlarcove_cold_targets', help: 'Targets that are cold, as far as this entry knows; they get few requests where their service states what they bear.', registers }),
    permits: new Gauge({ name: 'medlarcove_target_permits_total', help: 'Permits for requests to targets that advertise a rate limit; issued: by this entry to any entry, the others: requests of this entry for one.', labelNames: ['outcome'], registers }),
    quotaCustomers: new Gauge({ name: 'medlarcove_quota_customers', help: 'Customers with a quota whose requests came to this entry within the last minute.', registers }),
    quotaRequests: new Gauge({ name: 'medlarcove_quota_requests_total', help: 'Requests of customers with a quota, by outcome: granted, or rejected (over the quota, or no entry issued a token in time).', labelNames: ['outcome'], registers }),
    quotaTokens: new Gauge({ name: 'medlarcove_quota_tokens_total', help: 'Tokens that this entry issued to any entry, by source: quota, or reserve (while no issuer may issue).', labelNames: ['source'], registers }),
    quotaMessages: new Gauge({ name: 'medlarcove_quota_messages_total', help: 'Requests for tokens that this entry sent to others, by outcome: answered, or unanswered in time.', labelNames: ['outcome'], registers }),
    suspects: new Gauge({ name: 'medlarcove_suspected_requests', help: 'Requests that were running at a target that crashed and have not completed since, by state: suspected, or quarantined and rejected.', labelNames: ['state'], registers }),
    trials: new Gauge({ name: 'medlarcove_request_trials_total', help: 'Suspected requests, by outcome: trial (run alone), unleased (a trial although the entry that grants it did not respond), rejected (in quarantine).', labelNames: ['outcome'], registers }),
    targetCrashes: new Gauge({ name: 'medlarcove_target_crashes_total', help: 'Crashes of targets: a connection closed without a response, and new connections were refused.', registers }),
    entries: new Gauge({ name: 'medlarcove_live_entries', help: 'Entries that are known to live.', registers }),
    datagrams: new Gauge({ name: 'medlarcove_datagrams_total', help: 'Datagrams between entries; refused: wrong key or malformed, failed: not sent.', labelNames: ['kind'], registers }),
    dropped: new Gauge({ name: 'medlarcove_log_lines_dropped_total', help: 'Log lines dropped because the reader was slow.', registers }),
    inProgress: new Gauge({ name: 'medlarcove_requests_in_progress', help: 'Requests in progress.', registers }),
    bodyBytes: new Gauge({ name: 'medlarcove_body_memory_bytes', help: 'Memory that the bodies of requests take, with the responses held for their turn.', registers }),
    pipelined: new Gauge({ name: 'medlarcove_pipelined_requests_total', help: 'Requests that arrived before the response to the one ahead on their connection was complete.', registers }),
    unread: new Gauge({ name: 'medlarcove_unread_requests_total', help: 'Requests dropped without a response, behind a response that closed their connection.', registers }),
    heldBytes: new Gauge({ name: 'medlarcove_held_response_bytes', help: 'Memory reserved for responses that wait for those ahead on their connections, or are read whole before others.', registers }),
    closingConnections: new Gauge({ name: 'medlarcove_closing_connections', help: 'Connections that are closed for sending and wait for their callers to close them.', registers })
  }
}

function setQuotaGauges (metrics: ReturnType<typeof createGauges>, { customers, granted, rejected, issued, fromReserve, asked, unanswered }: QuotaCounts): void {
  metrics.quotaCustomers.set(customers)
  metrics.quotaRequests.set({ outcome: 'granted' }, granted)
  metrics.quotaRequests.set({ outcome: 'rejected' }, rejected)
  metrics.quotaTokens.set({ source: 'quota' }, issued - fromReserve)
  metrics.quotaTokens.set({ source: 'reserve' }, fromReserve)
  metrics.quotaMessages.set({ outcome: 'answered' }, asked - unanswered)
  metrics.quotaMessages.set({ outcome: 'unanswered' }, unanswered)
}

/** Returns the label of a priority; the least urgent ones have one label together, so that a configuration cannot create many. */
function describePriority (priority: number): string {
  if (priority === Infinity) return 'beyond-share'
  return priority < MAX_PRIORITY_LABEL ? String(Math.max(0, Math.floor(priority))) : `${MAX_PRIORITY_LABEL}+`
}

function setSharing (metrics: ReturnType<typeof createGauges>, { service, waitingByPriority, customers }: ServiceMetrics): void {
  const counts = new Map<string, number>()
  for (const [priority, count] of waitingByPriority) counts.set(describePriority(priority), count + (counts.get(describePriority(priority)) ?? 0))
  for (const [priority, count] of counts) metrics.waitingByPriority.set({ service, priority }, count)
  for (const outcome of ['served', 'rejected'] as const) metrics.customers.set({ service, outcome }, customers[outcome])
  metrics.largestRejectedShare.set({ service }, customers.largestRejectedShare)
}

function setGauges (metrics: ReturnType<typeof createGauges>, values: GatewayMetricValues): void {
  for (const serviceMetrics of values.services) {
    const { service, waiting, targets, loadProbes, queued, rejected, retries, hedges, scarceSearches } = serviceMetrics
    setSharing(metrics, serviceMetrics)
    metrics.waiting.set({ service }, waiting)
    metrics.targets.set({ service }, targets)
    metrics.loadProbes.set({ service }, loadProbes)
    metrics.queued.set({ service }, queued)
    metrics.rejected.set({ service }, rejected)
    metrics.retries.set({ service }, retries)
    metrics.hedges.set({ service, outcome: 'sent' }, hedges.sent)
    metrics.hedges.set({ service, outcome: 'won' }, hedges.won)
    metrics.scarceSearches.set({ service }, scarceSearches)
  }
  for (const kind of ['reads', 'appends', 'failures'] as const) metrics.storeCalls.set({ kind }, values.store[kind])
  metrics.storeBytes.set(values.store.receivedBytes)
  metrics.storeEpoch.set(values.storeEpoch)
  metrics.version.set(values.version)
  metrics.ready.set(Number(values.isReady))
  for (const extent of ['partial', 'total'] as const) metrics.cutOff.set({ extent }, Number(values.cutOff === extent))
  metrics.capacity.set(values.capacity)
  metrics.evacuatedZones.set(values.evacuatedZones)
  metrics.limitedTargets.set(values.limiter.limitedTargets)
  metrics.coldTargets.set(values.limiter.coldTargets)
  for (const outcome of ['granted', 'denied', 'unanswered', 'issued'] as const) metrics.permits.set({ outcome }, values.limiter[outcome])
  setQuotaGauges(metrics, values.quotas)
  const { suspected, quarantined, trials, unleasedTrials, rejected } = values.quarantine
  metrics.suspects.set({ state: 'suspected' }, suspected)
  metrics.suspects.set({ state: 'quarantined' }, quarantined)
  metrics.trials.set({ outcome: 'trial' }, trials)
  metrics.trials.set({ outcome: 'unleased' }, unleasedTrials)
  metrics.trials.set({ outcome: 'rejected' }, rejected)
  metrics.targetCrashes.set(values.targetCrashes)
  metrics.entries.set(values.liveEntries)
  for (const kind of ['sent', 'received', 'refused', 'failed'] as const) metrics.datagrams.set({ kind }, values.datagrams[kind])
  metrics.dropped.set(values.droppedLogLines)
  metrics.inProgress.set(values.inProgress)
  metrics.bodyBytes.set(values.bodyBytes)
  metrics.pipelined.set(values.pipelining.pipelined)
  metrics.unread.set(values.pipelining.unread)
  metrics.heldBytes.set(values.pipelining.heldBytes)
  metrics.closingConnections.set(values.closingConnections)
}

/** Creates the metrics. */
export function createGatewayMetrics (): GatewayMetrics {
  let hasDefaultMetrics = false
  const register = new Registry()
  const registers = [register]
  const requests = new Counter({ name: 'medlarcove_requests_total', help: 'Requests answered, by service, status and error kind.', labelNames: ['service', 'status', 'kind'], registers })
  const latency = new Histogram({ name: 'medlarcove_request_seconds', help: 'Time from the header of a request to the end of its answer.', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers })
  const attempts = new Counter({ name: 'medlarcove_attempts_total', help: 'Attempts at targets, by the reason of the choice.', labelNames: ['service', 'by'], registers })
  const gauges = createGauges(registers)
  return {
    recordRequest (record) {
      const { service } = record
      requests.inc({ service, status: String(record.status ?? 'none'), kind: record.error ?? record.end ?? 'none' })
      latency.observe({ service }, record.tookMs / MS_PER_SECOND)
      for (const { reason } of record.attempts) attempts.inc({ service, by: reason })
    },
    async renderText (values) {
      if (!hasDefaultMetrics) {
        // Observing the event loop costs CPU time, so it starts with the first scrape.
        collectDefaultMetrics({ register })
        hasDefaultMetrics = true
      }
      setGauges(gauges, values)
      return { contentType: register.contentType, text: await register.metrics() }
    }
  }
}
