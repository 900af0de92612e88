/**
 * Reads the boot file that the platform gives each process: lines of the form `a.b=value`, with lists joined by commas.
 */
import { readFile } from 'node:fs/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { toBrand } from '../types.ts'
import type { EntryId, ZoneId } from '../types.ts'
import { parseDurationMs } from './durations.ts'
import { MAX_PORT, parseHostPort } from '../unicast-address.ts'
import type { HostPort } from '../unicast-address.ts'

/** Environment variable that holds the path of the boot file. */
export const BOOT_FILE_VARIABLE = 'MEDLARCOVE_BOOT'

/** The settings in a boot file. Durations are in ms. */
export interface BootSettings {
  entry: EntryId
  zone: ZoneId
  /** IP address of this host. */
  address: string
  listen: {
    /** Where callers send requests; `listen.front`. */
    front: HostPort
    /** Where the platform checks readiness; `listen.ready`. */
    ready: HostPort
    /** Where callers ask which entries to use; `listen.directory`. */
    directory: HostPort
  }
  /** Whether all entries start for the first time; false at every later start. */
  isFirstStart: boolean
  /** The first and last port for messages between entries. */
  internalPorts: readonly [number, number]
  /** The address of the platform's store. */
  store: HostPort
  /** The longest time from the acknowledgement that a target is draining to the last request sent to it. */
  drainMs: number
  /** The time from SIGTERM to SIGKILL. */
  graceMs: number
  /** The longest time from the acknowledgement of a configuration until it is in effect. */
  configurationApplyMs: number
  /** The longest time for which callers may cache an address response. */
  maxAddressLifetimeMs: number
  /** The retries allowed over all entries in a sliding window: a share of the requests of a service, plus a constant. */
  retryBudget: { share: number, slack: number }
  /** The load probes per second that all entries together may send to the health endpoint of one target; `bounds.probesPerS`. */
  maxLoadProbesPerSecond: number
  /** The memory at which the platform kills the process, in MB; `limits.memoryMb`. */
  memoryMb: number
  /** Processor time that this host provides, in cores of normal speed. */
  cpuCores: number
  /** Bandwidth of this host's link, in Mbit/s; undefined when the platform states none. */
  linkMbps: number | undefined
  /** How far the requests of a customer may exceed its quota in a sliding window over all entries: a share of it, plus a constant. */
  quotaTolerance: { windowMs: number, share: number, slack: number }
  /** How far the requests to a cold target may exceed its rate in any second over all entries: a factor, plus a constant. */
  coldTolerance: { factor: number, slack: number }
  /** The longest time from the acknowledgement that a zone is evacuated to the last request sent there, in ms. */
  evacuateMs: number
}

type Fields = ReadonlyMap<string, string>

function parseLines (text: string): Fields {
  const fields = new Map<string, string>()
  for (const line of text.split('\n')) {
    const at = line.indexOf('=')
    if (at > 0) fields.set(line.slice(0, at).trim(), line.slice(at + 1).trim())
  }
  return fields
}

/** Reads typed fields and collects all faults, so that one error can report them together. */
function createFieldReader (fields: Fields) {
  const faults: string[] = []
  const readField = <T>(key: string, expected: string, parse: (text: string) => T | undefined, fallback?: T): T => {
    const text = fields.get(key)
    if ((text === undefined || text === '') && fallback !== undefined) return fallback
    const value = text === undefined ? undefined : parse(text)
    if (value !== undefined) return value
    faults.push(`${key}: expected ${expected}, found ${text === undefined ? 'nothing' : `"${text}"`}`)
    return fallback as T
  }
  const parseNumber = (text: string): number | undefined => text !== '' && Number.isFinite(Number(text)) ? Number(text) : undefined
  return {
    faults,
    readText: (key: string) => readField(key, 'a text', (text) => text || undefined),
    readNumber: (key: string, fallback?: number) => readField(key, 'a number', parseNumber, fallback),
    readDuration: (key: string, fallback?: number) => readField(key, 'a duration such as 1500ms', parseDurationMs, fallback),
    readOptionalNumber: (key: string) => fields.get(key) ? readField(key, 'a number', parseNumber) : undefined,
    readHostPort: (key: string) => readField(key, 'an address with a port', parseHostPort)
  }
}

const DEFAULTS = {
  drainMs: 2_000,
  graceMs: 6_000,
  configurationApplyMs: 2_000,
  maxAddressLifetimeMs: 5_000,
  retryShare: 0.2,
  retrySlack: 0,
  maxLoadProbesPerSecond: 60,
  memoryMb: 740,
  cpuShare: 1,
  cores: 1,
  quotaWindowMs: 5_000,
  quotaOverage: 0,
  quotaSlack: 0,
  warmupOverage: 1,
  warmupSlack: 0,
  evacuateMs: 5_000
}

function parsePorts (text: string): readonly [number, number] | undefined {
  const [first, last] = text.split(',').map(Number)
  if (first === undefined || last === undefined || !(first >= 1 && last >= first && last <= MAX_PORT)) return undefined
  return [first, last]
}

/** Parses the text of a boot file; unknown fields are ignored. Errors: `settings-invalid`, listing all faults. */
export function parseBootFile (text: string, path: string): Result<BootSettings, AppError> {
  const fields = parseLines(text)
  const reader = createFieldReader(fields)
  const internalPorts = parsePorts(fields.get('internalPorts') ?? '')
  if (!internalPorts) reader.faults.push(`internalPorts: expected two ports joined by a comma, found "${fields.get('internalPorts') ?? ''}"`)
  const settings: BootSettings = {
    entry: toBrand<EntryId>(reader.readText('node')),
    zone: toBrand<ZoneId>(reader.readText('zone')),
    address: reader.readText('ip'),
    listen: {
      front: reader.readHostPort('listen.front'),
      ready: reader.readHostPort('listen.ready'),
      directory: reader.readHostPort('listen.directory')
    },
    isFirstStart: fields.get('bootstrap') === 'true',
    internalPorts: internalPorts ?? [1, 1],
    store: reader.readHostPort('platform.address'),
    drainMs: reader.readDuration('bounds.drain', DEFAULTS.drainMs),
    graceMs: reader.readDuration('bounds.grace', DEFAULTS.graceMs),
    configurationApplyMs: reader.readDuration('bounds.configApply', DEFAULTS.configurationApplyMs),
    maxAddressLifetimeMs: reader.readDuration('bounds.ttl_max', DEFAULTS.maxAddressLifetimeMs),
    retryBudget: {
      share: reader.readNumber('bounds.budgetRatio', DEFAULTS.retryShare),
      slack: reader.readNumber('bounds.budgetSlack', DEFAULTS.retrySlack)
    },
    maxLoadProbesPerSecond: reader.readNumber('bounds.probesPerS', DEFAULTS.maxLoadProbesPerSecond),
    memoryMb: reader.readNumber('limits.memoryMb', DEFAULTS.memoryMb),
    cpuCores: reader.readNumber('limits.cpuShare', DEFAULTS.cpuShare) * reader.readNumber('limits.cores', DEFAULTS.cores),
    linkMbps: reader.readOptionalNumber('limits.linkMbps'),
    quotaTolerance: {
      windowMs: reader.readDuration('bounds.quotaWindow', DEFAULTS.quotaWindowMs),
      share: reader.readNumber('bounds.quotaOverage', DEFAULTS.quotaOverage),
      slack: reader.readNumber('bounds.quotaSlack', DEFAULTS.quotaSlack)
    },
    coldTolerance: {
      factor: reader.readNumber('bounds.warmupOverage', DEFAULTS.warmupOverage),
      slack: reader.readNumber('bounds.warmupSlack', DEFAULTS.warmupSlack)
    },
    evacuateMs: reader.readDuration('bounds.evacuate', DEFAULTS.evacuateMs)
  }
  if (reader.faults.length > 0) return err(createError('settings-invalid', `${path}: ${reader.faults.join('; ')}`))
  return ok(settings)
}

/** Reads and parses the boot file. Errors: `settings-invalid`. */
export async function readBootFile (path: string): Promise<Result<BootSettings, AppError>> {
  try {
    return parseBootFile(await readFile(path, 'utf8'), path)
  } catch (cause) {
    return err(createError('settings-invalid', `${path}: cannot be read: ${describeCause(cause)}`, cause))
  }
}
