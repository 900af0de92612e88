/**
 * Writes boot files as the platform does.
 */
import type { BootSettings, HostPort } from '../src/platform/boot-file.ts'

/** What a boot file must name, and how long a stop may take where that is not the default. */
export type BootFields = Pick<BootSettings, 'entry' | 'zone' | 'address' | 'listen' | 'internalPorts' | 'store'> & Partial<Pick<BootSettings, 'graceMs'>>

function formatPlace ({ address, port }: HostPort): string {
  return `${address}:${port}`
}

/** Returns the text of a boot file. */
export function formatBootText (settings: BootFields): string {
  const fields = {
    node: settings.entry,
    zone: settings.zone,
    ip: settings.address,
    'listen.front': formatPlace(settings.listen.front),
    'listen.ready': formatPlace(settings.listen.ready),
    'listen.directory': formatPlace(settings.listen.directory),
    internalPorts: settings.internalPorts.join(','),
    'platform.address': formatPlace(settings.store),
    ...(settings.graceMs === undefined ? {} : { 'bounds.grace': `${settings.graceMs}ms` })
  }
  return Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join('')
}
