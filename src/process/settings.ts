/**
 * Reads and checks the settings of one entry process: JSON with comments; unknown keys are rejected.
 */
import { readFile } from 'node:fs/promises'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { EntryId, ZoneId } from '../types.ts'
import { formatFaults, parseJsonc } from '../version/jsonc.ts'
import { MAX_PORT } from '../unicast-address.ts'

const MIN_PEER_KEY_LENGTH = 16
const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/

/** Log levels, from most to least verbose. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const
/** A log level. */
export type LogLevel = typeof LOG_LEVELS[number]

/** The defaults of all settings. Keep the table in docs/operators-running.md the same. */
export const SETTINGS_DEFAULTS = {
  /** How long an idle connection of a caller stays open, in ms; advertised to callers. */
  keepAliveMs: 15_000,
  /** Added to the address lifetime before a stopping entry closes connections, in ms. */
  stopSlackMs: 2_000,
  log: {
    /** How long the log keeps records, in ms; state that must last longer is rewritten before it expires. */
    retentionMs: 86_400_000
  },
  logLevel: 'info' as LogLevel,
  callers: {
    /** The maximum size of a request header, in bytes. */
    largestHeaderBytes: 16_384,
    /** How long a caller may take to send its header, in ms. */
    headerTimeoutMs: 10_000,
    /** How long a caller may pause while it sends a body or reads a response, in ms. */
    pauseTimeoutMs: 30_000,
    /** The maximum number of open connections of callers; further ones are rejected. */
    largestConnections: 10_000
  }
}

const defaults = SETTINGS_DEFAULTS
const idText = z.string().regex(ID_PATTERN, 'use lower-case letters, digits and hyphens, at most 63')
const port = z.number().int().min(1).max(MAX_PORT)
const positiveInt = z.number().int().positive()
const httpUrl = z.url({ protocol: /^https?$/, error: 'give a URL such as http://127.0.0.1:7000' })

const settingsSchema = z.strictObject({
  entry: z.strictObject({
    id: idText,
    zone: idText,
    address: z.ipv4('give an IPv4 address'),
    callerPort: port,
    operatorPort: port,
    peerPort: port
  }),
  log: z.strictObject({ url: httpUrl, retentionMs: positiveInt.default(defaults.log.retentionMs) }),
  hostList: z.strictObject({ url: httpUrl }),
  peerKey: z.string().min(MIN_PEER_KEY_LENGTH, `give at least ${MIN_PEER_KEY_LENGTH} characters, the same on every entry`),
  keepAliveMs: positiveInt.default(defaults.keepAliveMs),
  stopSlackMs: z.number().int().nonnegative().default(defaults.stopSlackMs),
  logLevel: z.enum(LOG_LEVELS).default(defaults.logLevel),
  callers: z.strictObject({
    largestHeaderBytes: positiveInt.default(defaults.callers.largestHeaderBytes),
    headerTimeoutMs: positiveInt.default(defaults.callers.headerTimeoutMs),
    pauseTimeoutMs: positiveInt.default(defaults.callers.pauseTimeoutMs),
    largestConnections: positiveInt.default(defaults.callers.largestConnections)
  }).default(defaults.callers)
}).superRefine((settings, context) => {
  const { callerPort, operatorPort, peerPort } = settings.entry
  if (new Set([callerPort, operatorPort, peerPort]).size === 3) return
  context.addIssue({ code: 'custom', path: ['entry', 'operatorPort'], message: 'give callerPort, operatorPort and peerPort three different values' })
})

type ParsedSettings = z.infer<typeof settingsSchema>

/** The identity, zone and addresses of one entry process. */
export interface EntrySettings {
  id: EntryId
  zone: ZoneId
  /** The IP address on which the entry listens and which callers and peers receive. */
  address: string
  callerPort: number
  operatorPort: number
  peerPort: number
}

/** Settings of one entry process, checked and with defaults filled in. */
export type Settings = Omit<ParsedSettings, 'entry'> & { entry: EntrySettings }

/** Parses the text of a settings file; `file` is its name in error messages. Errors: `settings-invalid`, one line for each fault. */
export function parseSettings (text: string, file: string): Result<Settings, AppError> {
  return parseJsonc(text, settingsSchema)
    .map((settings) => settings as unknown as Settings)
    .mapErr((faults) => createError('settings-invalid', formatFaults(file, faults)))
}

/** Reads and checks a settings file. Errors: `settings-invalid`. */
export async function readSettings (file: string): Promise<Result<Settings, AppError>> {
  try {
    return parseSettings(await readFile(file, 'utf8'), file)
  } catch (cause) {
    return err(createError('settings-invalid', `${file}: the file cannot be read (${describeCause(cause)}); check the path and its permissions`, cause))
  }
}

/** Returns settings for tests and tools, with defaults for everything that is not given. */
export function createSettings (given: Pick<Settings, 'entry' | 'hostList' | 'peerKey'> & { log: { url: string, retentionMs?: number } } & Partial<Omit<Settings, 'log'>>): Settings {
  return { ...SETTINGS_DEFAULTS, ...given, log: { ...SETTINGS_DEFAULTS.log, ...given.log } }
}
