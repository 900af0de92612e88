/**
 * Runs the target stand-in: a server with a few slots, and faults that `POST /control` switches on and off.
 */
import { parseArgs } from 'node:util'
import { createHostClock } from '../src/clock.ts'
import { createTargetServer } from './target-server.ts'
import type { WorkDistribution } from './target-server.ts'

const USAGE = `usage: stand-in-target --id ID --address IP --port PORT [options]
  --slots N           requests processed at once (4)
  --queue N           requests that may wait for a slot; further ones are shed (100)
  --work-ms MS        mean work time of a request (20)
  --distribution D    constant, exponential or heavy-tailed (exponential)
  --probe-ms MS       work time of a health probe (6)
  --connect-ms MS     work time of a new connection (1)
  --cold-ms MS        time after the start during which the target is cold (0)
  --cold-factor N     factor by which work takes longer while cold (4)
  --leave-ms MS       minimum time of draining after SIGTERM (1000)`

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

/** Prints an error and the usage, and exits with code 2. */
function failWithUsage (message: string): never {
  process.stderr.write(`${message}\n${USAGE}\n`)
  process.exit(2)
}

function parseNumber (name: string, text: string | undefined): number {
  const value = Number(text)
  if (text === undefined || text === '' || !Number.isFinite(value) || value < 0) failWithUsage(`--${name} must be a number of at least 0`)
  return value
}

function parseDistribution (text: string): WorkDistribution {
  return DISTRIBUTIONS.find((name) => name === text) ?? failWithUsage(`--distribution must be one of ${DISTRIBUTIONS.join(', ')}`)
}

function readArguments () {
  try {
    return parseArgs({ options: optionTypes }).values
  } catch (cause) {
    return failWithUsage(cause instanceof Error ? cause.message : String(cause))
  }
}

function runTarget (): void {
  const values = readArguments()
  if (!values.id || !values.address) failWithUsage('--id and --address are required')
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
    target.startDraining()
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
