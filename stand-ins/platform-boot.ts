/**
 * Formats boot files as the platform writes them.
 */
import type { BootSettings } from '../src/platform/boot-file.ts'
import type { HostPort } from '../src/unicast-address.ts'

type OptionalField = 'graceMs' | 'quotaTolerance' | 'coldTolerance' | 'evacuateMs'

/** The settings that a boot file must have, and those that may differ from the defaults. Times in ms. */
export type BootFields = Pick<BootSettings, 'entry' | 'zone' | 'address' | 'listen' | 'internalPorts' | 'store'> & Partial<Pick<BootSettings, OptionalField>>

function formatHostPort ({ address, port }: HostPort): string {
  return `${address}:${port}`
}

function formatBounds ({ graceMs, quotaTolerance, coldTolerance, evacuateMs }: BootFields): Record<string, string> {
  return {
    ...(graceMs === undefined ? {} : { 'bounds.grace': `${graceMs}ms` }),
    ...(quotaTolerance ? { 'bounds.quotaWindow': `${quotaTolerance.windowMs}ms`, 'bounds.quotaOverage': String(quotaTolerance.share), 'bounds.quotaSlack': String(quotaTolerance.slack) } : {}),
    ...(coldTolerance ? { 'bounds.warmupOverage': String(coldTolerance.factor), 'bounds.warmupSlack': String(coldTolerance.slack) } : {}),
    ...(evacuateMs === undefined ? {} : { 'bounds.evacuate': `${evacuateMs}ms` })
  }
}

/** Returns the text of a boot file. */
export function formatBootText (settings: BootFields): string {
  const fields = {
    node: settings.entry,
    zone: settings.zone,
    ip: settings.address,
    'listen.front': formatHostPort(settings.listen.front),
    'listen.ready': formatHostPort(settings.listen.ready),
    'listen.directory': formatHostPort(settings.listen.directory),
    internalPorts: settings.internalPorts.join(','),
    'platform.address': formatHostPort(settings.store),
    ...formatBounds(settings)
  }
  return Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join('')
}
