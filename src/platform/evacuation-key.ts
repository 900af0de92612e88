/**
 * The keys under which the operator asks, in its topic, that a zone be evacuated. The value says nothing; the request holds as
 * long as the key has one.
 */
import { toBrand } from '../types.ts'
import type { ZoneId } from '../types.ts'

const KEY_PREFIX = 'evacuate/'

/** Returns the zone that a key of the operator's topic is about; undefined for other keys. */
export function getEvacuationZone (key: string): ZoneId | undefined {
  const zone = key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : ''
  return zone === '' ? undefined : toBrand<ZoneId>(zone)
}
