/**
 * Addresses at which one process can be reached: a unicast IPv4 address and a port.
 */
import { isIPv4 } from 'node:net'

/** The highest port. */
export const MAX_PORT = 65_535
/** First octets of the addresses that name no host: those of "this" network, and multicast and reserved ones. */
const THIS_NETWORK_OCTET = 0
const FIRST_MULTICAST_OCTET = 224
const PORT_PATTERN = /^\d{1,5}$/

/** Returns whether a text is an IPv4 address of one host. */
export function isUnicastAddress (text: string): boolean {
  const firstOctet = Number(text.split('.', 1)[0])
  return isIPv4(text) && firstOctet !== THIS_NETWORK_OCTET && firstOctet < FIRST_MULTICAST_OCTET
}

/** Returns whether a value is a port at which a process can be reached. */
export function isPort (value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 1 && (value as number) <= MAX_PORT
}

/** An IP address or host name with a port. */
export interface HostPort { address: string, port: number }

/** Parses `address:port`; returns undefined without an address, or with a port that is none. */
export function parseHostPort (text: string): HostPort | undefined {
  const at = text.lastIndexOf(':')
  const portText = text.slice(at + 1)
  const port = Number(portText)
  if (at <= 0 || !PORT_PATTERN.test(portText) || !isPort(port)) return undefined
  return { address: text.slice(0, at), port }
}
