/**
 * Types that several modules share: branded ids, the fate of a request, and the kinds of host.
 */

declare const brand: unique symbol

/** A value of type `T` that only code naming the brand `N` may create. */
export type Brand<T, N extends string> = T & { readonly [brand]: N }

/** A customer of the system: one contract each. */
export type CustomerId = Brand<string, 'CustomerId'>
/** A service of a customer, unique within its contract. */
export type ServiceId = Brand<string, 'ServiceId'>
/** A back-end server, unique within its service. */
export type TargetId = Brand<string, 'TargetId'>
/** An entry host of the system; it stays the same when the process restarts. */
export type EntryId = Brand<string, 'EntryId'>
/** An availability zone. */
export type ZoneId = Brand<string, 'ZoneId'>
/** One run of a process; later runs of the same host compare greater. Milliseconds of the start, then a random part. */
export type Incarnation = Brand<string, 'Incarnation'>
/** The place of a record in a stream of the log; only order is promised, offsets may have holes. */
export type Offset = Brand<number, 'Offset'>
/** The version of a contract: 1 for the first, then one more each time. */
export type ContractVersion = Brand<number, 'ContractVersion'>
/** A value that names one attempt at writing, unique for all time. */
export type Nonce = Brand<string, 'Nonce'>
/** A hash of customer, service, operation and the caller's key, in hexadecimal digits. */
export type KeyHash = Brand<string, 'KeyHash'>
/** A request as the entry numbers it; echoed by targets. */
export type RequestId = Brand<string, 'RequestId'>
/** The name of a stream of the log. */
export type StreamName = Brand<string, 'StreamName'>

/** Casts a plain value to a branded type, at the places where outside input has been checked. */
export function toBrand<B extends Brand<string | number, string>> (value: B extends string ? string : number): B {
  return value as unknown as B
}

/**
 * What is known about a request when it is answered: it ran on a target, it did not and never will,
 * or nobody can tell.
 */
export type Fate = 'ran' | 'not-run' | 'unknown'

/** Whether a host takes work, according to the platform's list. */
export type HostState = 'live' | 'leaving'

/** Stops something that was started; calling it again does nothing. */
export type Cancel = () => void
