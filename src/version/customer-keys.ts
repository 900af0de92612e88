/**
 * The customers of a configuration, and the lookup of the customer that holds a key. Only digests of keys are kept, so that
 * no key can get into a log, a metric or an error.
 */
import { createHash } from 'node:crypto'
import { toBrand } from '../types.ts'
import type { Brand, CustomerId } from '../types.ts'

/** The digest of a key, which identifies it without showing it. */
export type KeyDigest = Brand<string, 'KeyDigest'>

/** The quota of a customer over all entries: `ratePerSecond` times the length of any window, plus `burst`. */
export interface Quota { ratePerSecond: number, burst: number }

/** What a configuration says about one customer. */
export interface CustomerTerms {
  name: CustomerId
  keys: readonly KeyDigest[]
  /** Priority of its requests, which replaces that of the route; 0 is the most urgent. */
  priority: number | undefined
  /** Undefined without a limit. */
  quota: Quota | undefined
}

/** Finds the customer that holds a key; undefined for an unknown key. */
export type FindCustomer = (key: KeyDigest) => CustomerTerms | undefined

/** Computes the digest of a key. */
export function computeKeyDigest (key: string): KeyDigest {
  return toBrand<KeyDigest>(createHash('sha256').update(key).digest('base64url'))
}

/** Creates the lookup of customers by key. */
export function createCustomerFinder (customers: readonly CustomerTerms[]): FindCustomer {
  const byKey = new Map<KeyDigest, CustomerTerms>()
  for (const customer of customers) for (const key of customer.keys) byKey.set(key, customer)
  return (key) => byKey.get(key)
}

/** Finds a key that two customers hold; returns the names of both. */
export function findSharedKey (customers: readonly CustomerTerms[]): readonly [CustomerId, CustomerId] | undefined {
  const holders = new Map<KeyDigest, CustomerId>()
  for (const { name, keys } of customers) {
    for (const key of new Set(keys)) {
      const holder = holders.get(key)
      if (holder !== undefined) return [holder, name]
      holders.set(key, name)
    }
  }
  return undefined
}
