/**
 * The target stand-in: a server with a few slots whose faults are switched by `POST /control`.
 */
import { parseArgs } from 'node:util'
import { createHostClock } from '../src/clock.ts'
import { createTargetServer } from './target-server.ts'
import type { WorkDistribution } from './target-server.ts'

const USAGE = `usage: stand-in-target --id ID --address IP --port PORT [options]
  --slots N           requests worked on at once (4)
  --queue N           requests that may wait inside; more are shed (100)
  --work-ms MS        mean work of a request (20)
  --distribution D    constant, exponential or heavy-tailed (exponential)
  --probe-ms MS       work of a health probe (6)
  --connect-ms MS     work of a new connection (1)
  --cold-ms MS        how long it is cold after the start (0)
  --cold-factor N     how many times longer work takes while cold (4)
  --leave-ms MS       how long it drains after SIGTERM, at least (1000)`

const DISTRIBUTIONS: readonly WorkDistribution[] = ['constant', 'exponential', 'heavy-tailed']
const IDLE_CHECK_MS = 20

const optionTypes = {
  id: { type: 'string' },
  address: { type: 'string' },
  port: { type: 'string' },
  slots: { type: 'string', default: '4' },
  queue: { type: 'string', default: '100' },
  'work-ms': { type: 'string', default: '20' },
  distribution: { type: 'string', default: 'exponential' },
  'probe-ms': { type: 'string', default: '6' },
  'connect-ms': { type: 'string', default: '1' },
  'cold-ms': { type: 'string', default: '0' },
  'cold-factor': { type: 'string', default: '4' },
  'leave-ms': { type: 'string', default: '1000' }
} as const

/** Prints the fault and the usage, and ends with exit code 2. */
function stopWithUsage (fault: string): never {
  process.stderr.write(`${fault}\n${USAGE}\n`)
  process.exit(2)
}

function parseNumber (name: string, text: string | undefined): number {
  const value = Number(text)
  if (text === undefined || text === '' || !Number.isFinite(value) || value < 0) stopWithUsage(`--${name} wants a number`)
  return value
}

function parseDistribution (text: string): WorkDistribution {
  return DISTRIBUTIONS.find((name) => name === text) ?? stopWithUsage(`--distribution must be one of ${DISTRIBUTIONS.join(', ')}`)
}

function readArguments () {
  try {
    return parseArgs({ options: optionTypes }).values
  } catch (cause) {
    return stopWithUsage(cause instanceof Error ? cause.message : String(cause))
  }
}

function runTarget (): void {
  const values = readArguments()
  if (!values.id || !values.address) stopWithUsage('--id and --address are needed')
  const clock = createHostClock()
  const leaveMs = parseNumber('leave-ms', values['leave-ms'])
  const target = createTargetServer({
    id: values.id,
    clock,
    slots: parseNumber('slots', values.slots),
    queue: parseNumber('queue', values.queue),
    workMs: parseNumber('work-ms', values['work-ms']),
    distribution: parseDistribution(values.distribution),
    probeMs: parseNumber('probe-ms', values['probe-ms']),
    connectMs: parseNumber('connect-ms', values['connect-ms']),
    coldMs: parseNumber('cold-ms', values['cold-ms']),
    coldFactor: parseNumber('cold-factor', values['cold-factor']),
    random: Math.random
  })
  target.server.listen(parseNumber('port', values.port), values.address, () => {
    process.stdout.write(`target ${values.id} listens on ${values.address}:${values.port}\n`)
  })
  process.once('SIGTERM', () => {
    target.startLeaving()
    clock.startTimer(leaveMs, function stopWhenIdle () {
      if (!target.isIdle()) {
        clock.startTimer(IDLE_CHECK_MS, stopWhenIdle)
        return
      }
      target.server.close(() => process.exit(0))
      target.server.closeIdleConnections()
    })
  })
}

runTarget()
