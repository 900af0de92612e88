/**
 * Formats boot files as the platform writes them.
 */
import type { BootSettings } from '../src/platform/boot-file.ts'
import type { HostPort } from '../src/unicast-address.ts'

/** The settings that a boot file must have, and the grace period in ms where it differs from the default. */
export type BootFields = Pick<BootSettings, 'entry' | 'zone' | 'address' | 'listen' | 'internalPorts' | 'store'> & Partial<Pick<BootSettings, 'graceMs'>>

function formatHostPort ({ address, port }: HostPort): string {
  return `${address}:${port}`
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
    ...(settings.graceMs === undefined ? {} : { 'bounds.grace': `${settings.graceMs}ms` })
  }
  return Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join('')
}
