/**
 * Addresses at which members may be found, but from which nothing has been heard yet.
 */
import type { DatagramAddress } from '../../connection/datagram-socket.ts'
import { shuffle } from './probe-order.ts'

/** Addresses that have not been heard yet. */
export interface Contacts {
  add(address: DatagramAddress): void
  remove(address: DatagramAddress): void
  /** Lists all addresses. */
  list(): DatagramAddress[]
  /** Returns at most `maxCount` random addresses. */
  choose(maxCount: number): DatagramAddress[]
  /** Counts a probe of an address, and drops the address after `MAX_PROBES`. */
  recordProbe(address: DatagramAddress): void
}

/** An address that answered none of this number of probes is dropped. */
const MAX_PROBES = 8

function formatKey ({ address, port }: DatagramAddress): string {
  return `${address}:${port}`
}

/** Creates an empty set. */
export function createContacts (random: () => number): Contacts {
  const contacts = new Map<string, { address: DatagramAddress, probeCount: number }>()
  const list = (): DatagramAddress[] => [...contacts.values()].map(({ address }) => address)
  return {
    add (address) {
      if (!contacts.has(formatKey(address))) contacts.set(formatKey(address), { address, probeCount: 0 })
    },
    remove: (address) => { contacts.delete(formatKey(address)) },
    list,
    choose: (maxCount) => shuffle(list(), random).slice(0, maxCount),
    recordProbe (address) {
      const contact = contacts.get(formatKey(address))
      if (!contact) return
      contact.probeCount += 1
      if (contact.probeCount >= MAX_PROBES) contacts.delete(formatKey(address))
    }
  }
}
