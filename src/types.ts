/**
 * Types that several modules share: branded ids, the execution status of a request, and the state of a host.
 */

declare const brand: unique symbol

/** A value of type `T` marked with the name `N`, so that the compiler rejects plain values and other brands. */
export type Brand<T, N extends string> = T & { readonly [brand]: N }

/** A customer of the system; each has one contract. */
export type CustomerId = Brand<string, 'CustomerId'>
/** A service of a customer, unique within its contract. */
export type ServiceId = Brand<string, 'ServiceId'>
/** A back-end server, unique within its service. */
export type TargetId = Brand<string, 'TargetId'>
/** An entry host of the system; the id stays the same when the process restarts. */
export type EntryId = Brand<string, 'EntryId'>
/** An availability zone. */
export type ZoneId = Brand<string, 'ZoneId'>
/** One run of a process: its start time in milliseconds, then a random part. Later runs of the same host compare greater. */
export type Incarnation = Brand<string, 'Incarnation'>
/** The position of a record in a stream of the log. Offsets increase but need not be consecutive. */
export type Offset = Brand<number, 'Offset'>
/** The version of a contract: 1 for the first, then increased by one for each change. */
export type ContractVersion = Brand<number, 'ContractVersion'>
/**
 * The epoch of the store's content: it rises by one each time the store is restored from an earlier copy. Offsets of different
 * epochs have nothing to do with each other, and records of an earlier epoch may be gone. 0 for a store that states none.
 */
export type StoreEpoch = Brand<number, 'StoreEpoch'>
/** A globally unique value that identifies one attempt to write. */
export type Nonce = Brand<string, 'Nonce'>
/** A hash of customer, service, operation and the caller's idempotency key, in hexadecimal digits. */
export type KeyHash = Brand<string, 'KeyHash'>
/** The id that an entry gives to a request; targets echo it. */
export type RequestId = Brand<string, 'RequestId'>
/** The name of a stream of the log. */
export type StreamName = Brand<string, 'StreamName'>

/** Casts a plain value to a branded type; for use where external input has been validated. */
export function toBrand<B extends Brand<string | number, string>> (value: B extends string ? string : number): B {
  return value as unknown as B
}

/**
 * The execution status of a request when the caller gets its response: it ran on a target, it did not run and never
 * will, or it is unknown whether it ran or may still run.
 */
export type ExecutionStatus = 'ran' | 'not-run' | 'unknown'

/** Whether a host accepts work, according to the platform's host list. */
export type HostState = 'live' | 'leaving'

/** Stops what was started; further calls do nothing. */
export type Cancel = () => void
