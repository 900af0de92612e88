/**
 * The boot file that the platform gives each process: lines of `a.b=value`, lists joined by commas.
 */
import { readFile } from 'node:fs/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { toBrand } from '../types.ts'
import type { EntryId, ZoneId } from '../types.ts'
import { parseDurationMs } from './durations.ts'

/** Environment variable that holds the path of the boot file. */
export const BOOT_FILE_VARIABLE = 'MEDLARCOVE_BOOT'

const LARGEST_PORT = 65_535

/** An address with its port. */
export interface HostPort { address: string, port: number }

/** What a process learns at its start. Times in ms. */
export interface BootSettings {
  entry: EntryId
  zone: ZoneId
  /** IP address of this host. */
  address: string
  listen: {
    /** Requests of callers. */
    front: HostPort
    /** Readiness checks. */
    ready: HostPort
    /** Callers that ask which entries to use. */
    directory: HostPort
  }
  /** First and last port that entries may use among themselves. */
  internalPorts: readonly [number, number]
  /** Base address of the platform's store. */
  store: HostPort
  /** The longest from the acknowledgement that a target leaves to the last request that it gets. */
  drainMs: number
  /** From SIGTERM to SIGKILL. */
  graceMs: number
  /** The longest from the acknowledgement of a configuration until it is in force. */
  configurationApplyMs: number
  /** The longest that callers may keep an address answer. */
  longestAddressLifetimeMs: number
  /** Repeats allowed over all entries: a share of the requests of a service, and a constant, in a sliding window. */
  repeats: { share: number, slack: number }
  /** Looks at a target's health endpoint over all entries, a second. */
  looksPerSecond: number
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

function parseHostPort (text: string): HostPort | undefined {
  const at = text.lastIndexOf(':')
  const port = Number(text.slice(at + 1))
  if (at <= 0 || !Number.isInteger(port) || port < 1 || port > LARGEST_PORT) return undefined
  return { address: text.slice(0, at), port }
}

/** Reads typed fields and collects everything that is wrong, so that all errors are told at once. */
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
    readHostPort: (key: string) => readField(key, 'an address with a port', parseHostPort)
  }
}

const DEFAULTS = {
  drainMs: 2_000,
  graceMs: 6_000,
  configurationApplyMs: 2_000,
  longestAddressLifetimeMs: 5_000,
  repeatShare: 0.2,
  repeatSlack: 0,
  looksPerSecond: 60
}

function parsePorts (text: string): readonly [number, number] | undefined {
  const [first, last] = text.split(',').map(Number)
  if (first === undefined || last === undefined || !(first >= 1 && last >= first && last <= LARGEST_PORT)) return undefined
  return [first, last]
}

/** Parses the text of a boot file. Errors: `settings-invalid`, with every fault. */
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
    internalPorts: internalPorts ?? [1, 1],
    store: reader.readHostPort('platform.address'),
    drainMs: reader.readDuration('bounds.drain', DEFAULTS.drainMs),
    graceMs: reader.readDuration('bounds.grace', DEFAULTS.graceMs),
    configurationApplyMs: reader.readDuration('bounds.configApply', DEFAULTS.configurationApplyMs),
    longestAddressLifetimeMs: reader.readDuration('bounds.ttl_max', DEFAULTS.longestAddressLifetimeMs),
    repeats: {
      share: reader.readNumber('bounds.budgetRatio', DEFAULTS.repeatShare),
      slack: reader.readNumber('bounds.budgetSlack', DEFAULTS.repeatSlack)
    },
    looksPerSecond: reader.readNumber('bounds.probesPerS', DEFAULTS.looksPerSecond)
  }
  if (reader.faults.length > 0) return err(createError('settings-invalid', `${path}: ${reader.faults.join('; ')}`))
  return ok(settings)
}

/** Reads the boot file. Errors: `settings-invalid`. */
export async function readBootFile (path: string): Promise<Result<BootSettings, AppError>> {
  try {
    return parseBootFile(await readFile(path, 'utf8'), path)
  } catch (cause) {
    return err(createError('settings-invalid', `${path}: cannot be read: ${describeCause(cause)}`, cause))
  }
}
