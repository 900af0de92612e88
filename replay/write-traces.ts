/**
 * Writes the committed traces and their outcomes from fixed seeds.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { createRandom } from './random.ts'
import type { Sample } from './deployment.ts'
import type { TraceFault, TraceRequest } from './trace.ts'

const LENGTH_MS = 6_000
const TARGETS_PER_SERVICE = 6
const WORK_MS = 40
const STEADY_REQUESTS_PER_SECOND = 220
const BUSY_REQUESTS_PER_SECOND = 420
const CALLER_COUNT = 48
const ENTRY_COUNT = 6
const SKEWED_SHARE = 0.4
const DOWNLOAD_BYTES = [200_000, 1_000_000, 4_000_000] as const

/** Relative frequency of an operation, and the number of keys its requests are spread over. */
interface OperationWeight { service: string, operation: string, weight: number, keyCount: number, hasSize?: boolean }

/** The load and the faults of one trace, with the expected outcomes. */
interface Scenario {
  name: string
  /** One sentence, written as a comment to the outcomes file. */
  description: string
  requestsPerSecond: number
  weights: (sample: Sample) => OperationWeight[]
  faults: (sample: Sample, random: () => number) => TraceFault[]
  /** Whether two fifths of the callers use only the first entry. */
  isSkewed?: boolean
  answeredShare: number
  tail: { baseline: string, percentile: number, atMost: number }[]
}

const STEADY_MIX: Record<Sample, OperationWeight[]> = {
  kyushu: [
    { service: 'booking', operation: 'slot-status', weight: 62, keyCount: 400 },
    { service: 'booking', operation: 'ticket-status', weight: 20, keyCount: 400 },
    { service: 'booking', operation: 'charge-slot', weight: 6, keyCount: 1_000_000 },
    { service: 'collection', operation: 'lot-status', weight: 8, keyCount: 200 },
    { service: 'collection', operation: 'issue-ticket', weight: 4, keyCount: 60 }
  ],
  arequipa: [
    { service: 'booking', operation: 'availability', weight: 66, keyCount: 20 },
    { service: 'booking', operation: 'booking-status', weight: 16, keyCount: 300 },
    { service: 'booking', operation: 'emergency-booking', weight: 5, keyCount: 1_000_000 },
    { service: 'paperwork', operation: 'visit-status', weight: 7, keyCount: 200 },
    { service: 'paperwork', operation: 'cancel-visit', weight: 3, keyCount: 40 },
    { service: 'paperwork', operation: 'visit-report', weight: 3, keyCount: 100 }
  ]
}
const REFRESHED_OPERATION: Record<Sample, string> = { kyushu: 'slot-status', arequipa: 'availability' }
const DOWNLOAD_WEIGHT: Record<Sample, OperationWeight> = {
  kyushu: { service: 'collection', operation: 'season-ledger', weight: 6, keyCount: 12, hasSize: true },
  arequipa: { service: 'paperwork', operation: 'job-sheets', weight: 6, keyCount: 12, hasSize: true }
}
const TARGET_PREFIX: Record<Sample, string> = { kyushu: 'slot', arequipa: 'booking' }
const ZONES: Record<Sample, string[]> = { kyushu: ['zone-a', 'zone-b', 'zone-c', 'zone-d'], arequipa: ['zone-a', 'zone-b', 'zone-c'] }

function createFault (time: number, where: string, change: Record<string, unknown>): TraceFault {
  return { time, what: 'control', where, with: change }
}

/**
 * Creates faults that slow the targets of a random zone for 100 to 300 ms, one every 500 to 900 ms. They simulate noisy
 * neighbours: processes of others on the same hosts.
 */
function createSlowZoneFaults (sample: Sample, random: () => number): TraceFault[] {
  const faults: TraceFault[] = []
  for (let time = 500; time < LENGTH_MS - 500; time += 500 + Math.floor(random() * 400)) {
    const zone = ZONES[sample][Math.floor(random() * ZONES[sample].length)]
    faults.push(createFault(time, `booking/zone:${zone}`, { slowFactor: 6, forMs: 100 + Math.floor(random() * 200) }))
  }
  return faults
}

const SCENARIOS: Scenario[] = [
  {
    name: 'steady-day',
    description: 'An ordinary day.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: () => [],
    answeredShare: 0.995,
    tail: [{ baseline: 'two-choices', percentile: 99, atMost: 1.25 }]
  },
  {
    name: 'night-in-march',
    description: 'Everyone refreshes the same page, and neighbours slow the targets.',
    requestsPerSecond: BUSY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample].map((item) => item.operation === REFRESHED_OPERATION[sample] ? { ...item, weight: 300 } : item),
    faults: createSlowZoneFaults,
    answeredShare: 0.98,
    tail: [{ baseline: 'two-choices', percentile: 99.9, atMost: 1 }]
  },
  {
    name: 'month-end-downloads',
    description: 'Ledgers or job sheets are downloaded, one connection is cut short and a target leaves meanwhile.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => [...STEADY_MIX[sample], DOWNLOAD_WEIGHT[sample]],
    faults: (sample) => {
      const service = DOWNLOAD_WEIGHT[sample].service
      const first = `${service}/${service}-01`
      return [
        createFault(200, `${service}/*`, { downloadBytesPerSecond: 2_000_000 }),
        createFault(2_000, first, { truncateNext: 1 }),
        createFault(3_000, first, { isLeaving: true })
      ]
    },
    answeredShare: 0.98,
    tail: []
  },
  {
    name: 'fast-failures',
    description: 'One target responds to half of its requests with immediate errors.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: (sample) => [createFault(1_500, `booking/${TARGET_PREFIX[sample]}-02`, { errorShare: 0.5, forMs: 3_000 })],
    answeredShare: 0.97,
    tail: []
  },
  {
    name: 'drain-without-warning',
    description: 'A target leaves; only its responses and its health endpoint report it.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: (sample) => [createFault(1_500, `booking/${TARGET_PREFIX[sample]}-03`, { isLeaving: true })],
    answeredShare: 0.99,
    tail: []
  },
  {
    name: 'lost-entry',
    description: 'An entry is lost without warning and restarts without state.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: () => [{ time: 1_500, what: 'kill', where: 'entry-2' }, { time: 3_500, what: 'start', where: 'entry-2' }],
    answeredShare: 0.97,
    tail: []
  },
  {
    name: 'planned-stop',
    description: 'An entry is stopped as planned while downloads run.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => [...STEADY_MIX[sample], DOWNLOAD_WEIGHT[sample]],
    faults: () => [{ time: 1_000, what: 'stop', where: 'entry-3' }],
    answeredShare: 0.995,
    tail: []
  },
  {
    name: 'skewed-callers',
    description: 'One entry has two fifths of the callers, and neighbours slow the targets.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: createSlowZoneFaults,
    isSkewed: true,
    answeredShare: 0.99,
    tail: [{ baseline: 'two-choices', percentile: 99, atMost: 1 }]
  },
  {
    name: 'noisy-neighbours',
    description: 'Neighbours slow the targets of a zone for 100 to 300 ms, again and again.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: createSlowZoneFaults,
    answeredShare: 0.99,
    tail: [{ baseline: 'two-choices', percentile: 99.9, atMost: 0.5 }, { baseline: 'all-knowing', percentile: 99.9, atMost: 1.15 }]
  },
  {
    name: 'platform-outage',
    description: 'The log is down for two seconds.',
    requestsPerSecond: STEADY_REQUESTS_PER_SECOND,
    weights: (sample) => STEADY_MIX[sample],
    faults: () => [createFault(1_500, 'log', { outage: 'refuse' }), createFault(3_500, 'log', { outage: 'none' })],
    answeredShare: 0.9,
    tail: []
  }
]

function chooseWeight (weights: readonly OperationWeight[], random: () => number): OperationWeight {
  const total = weights.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random() * total
  return weights.find(({ weight }) => (remaining -= weight) < 0) ?? weights[0]!
}

/** Builds the requests of a scenario, with exponentially distributed gaps and callers chosen uniformly. */
function buildRequests (scenario: Scenario, sample: Sample, random: () => number): TraceRequest[] {
  const weights = scenario.weights(sample)
  const requests: TraceRequest[] = []
  const gapMs = 1000 / scenario.requestsPerSecond
  for (let time = 0; time < LENGTH_MS; time -= gapMs * Math.log(1 - random())) {
    const { service, operation, keyCount, hasSize } = chooseWeight(weights, random)
    const caller = Math.floor(random() * CALLER_COUNT)
    requests.push({
      time: Math.round(time),
      caller: `c${caller}`,
      service,
      operation,
      key: `k${Math.floor(random() * keyCount)}`,
      ...(hasSize ? { size: DOWNLOAD_BYTES[Math.floor(random() * DOWNLOAD_BYTES.length)] } : {}),
      ...(scenario.isSkewed ? { entry: chooseSkewedEntry(caller) } : {})
    })
  }
  return requests
}

/**
 * Returns the only entry that a caller uses: the first for two fifths of the callers, one of the others for the rest.
 */
function chooseSkewedEntry (caller: number): string {
  const isPinned = caller < CALLER_COUNT * SKEWED_SHARE
  return isPinned ? 'entry-1' : `entry-${2 + caller % (ENTRY_COUNT - 1)}`
}

function formatOutcomes (scenario: Scenario, sample: Sample): string {
  const fields = { sample, entries: ENTRY_COUNT, targetsPerService: TARGETS_PER_SERVICE, workMs: WORK_MS, answeredShare: scenario.answeredShare, tail: scenario.tail }
  return `// ${scenario.description}\n${JSON.stringify(fields, undefined, 2)}\n`
}

/** Writes every trace with its outcomes file to a folder, the same bytes on every run. */
export function writeTraces (folder: string): void {
  for (const sample of ['kyushu', 'arequipa'] as const) {
    mkdirSync(path.join(folder, sample), { recursive: true })
    SCENARIOS.forEach((scenario, index) => {
      const random = createRandom(index + 1)
      const lines = [...buildRequests(scenario, sample, random), ...scenario.faults(sample, random)].sort((a, b) => a.time - b.time)
      writeFileSync(path.join(folder, sample, `${scenario.name}.jsonl`), lines.map((line) => `${JSON.stringify(line)}\n`).join(''))
      writeFileSync(path.join(folder, sample, `${scenario.name}.outcomes.jsonc`), formatOutcomes(scenario, sample))
    })
  }
}
