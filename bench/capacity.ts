/**
 * Bench of the cost of each role by its size; docs/CAPACITY.md is computed from the slopes.
 */
import { parseArgs } from 'node:util'
import { measureMemberTable, measurePeerLinks } from './capacity-peers.ts'
import type { CapacityRow } from './capacity-slope.ts'
import { measureAddresses, measureCallerShares, measureClaims, measureContracts, measureLimits, measureTargets } from './capacity-state.ts'

/** Options for the bench. */
export interface CapacityOptions {
  /** First three bytes of loopback addresses that nothing else uses. */
  network: string
  /** Duration of each measurement of peer links, in ms. */
  lengthMs: number
}

const HELP = `Usage: npm run bench -- capacity [--length-ms N] [--network A.B.C] [--json]

Measures processor time, bytes and memory of each role at three or more sizes, and what one more adds (slope).`

/** Measures every role. */
export async function measureCapacity (options: CapacityOptions): Promise<CapacityRow[]> {
  // Peer links come last: their measurements run over time, and the garbage of the other measurements is collected by then.
  const rows = [measureMemberTable(), measureContracts(), await measureTargets(), measureLimits(), await measureClaims(), measureAddresses(), measureCallerShares()]
  return [...rows, await measurePeerLinks(options.network, options.lengthMs)]
}

function formatFigure (value: number): string {
  if (value === 0) return '0'
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}

function formatRow ({ role, per, points, slopes }: CapacityRow): string {
  const names = Object.keys(slopes)
  const lines = names.map((name) => {
    const figures = points.map(({ size, figures }) => `${size}: ${formatFigure(figures[name] ?? 0)}`)
    return `  ${name}: ${figures.join(', ')}; slope ${formatFigure(slopes[name] ?? 0)}`
  })
  return [`${role}, by ${per}`, ...lines].join('\n')
}

/** Runs the bench from the command line; returns the exit code. */
export async function runCapacityBench (args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      'length-ms': { type: 'string', default: '8000' },
      network: { type: 'string', default: '127.81.1' },
      json: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false }
    }
  })
  if (values.help) {
    console.log(HELP)
    return 0
  }
  const rows = await measureCapacity({ network: values.network, lengthMs: Number(values['length-ms']) })
  console.log(values.json ? JSON.stringify(rows, undefined, 2) : rows.map(formatRow).join('\n'))
  return 0
}
