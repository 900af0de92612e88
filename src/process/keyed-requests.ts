/**
 * Runs non-idempotent requests. Each runs at the entry that ranks first for its idempotency key, or here when
 * forwarding to that entry fails.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError, getErrorResponse } from '../errors.ts'
import type { AppError } from '../errors.ts'
import type { Call } from '../request/call.ts'
import { runAtMostOnce } from '../request/at-most-once-request.ts'
import type { CompleteResponse } from '../request/at-most-once-request.ts'
import type { EntryId, KeyHash } from '../types.ts'
import type { Operation } from '../version/contract.ts'
import type { ClaimStore } from './claims/claim-store.ts'
import { hashKey, hashRequest, readKey } from './claims/claim-keys.ts'
import type { PeerMesh } from './membership/peer-mesh.ts'

/** A non-idempotent operation; its requests carry an idempotency key. */
export type KeyedOperation = Extract<Operation, { repeatable: false }>

/** Options for running keyed requests. */
export interface KeyedRequestsOptions {
  self: EntryId
  claims: ClaimStore
  mesh: PeerMesh
  /** Returns the entry that ranks first for a key. */
  findOwner(key: KeyHash): EntryId
}

/** Runs requests of keyed operations. */
export interface KeyedRequests {
  /** Runs a caller's request here or at a peer. Errors: those of claims and attempts; each states the correct execution status. */
  runForCaller(call: Call, operation: KeyedOperation): Promise<Result<CompleteResponse, AppError>>
  /** Runs a request that a peer forwarded; it is never forwarded again. Errors: the same. */
  runForPeer(call: Call, operation: KeyedOperation): Promise<Result<CompleteResponse, AppError>>
}

const EMPTY_BODY = new Uint8Array()

/** Creates the service that runs keyed requests. */
export function createKeyedRequests (options: KeyedRequestsOptions): KeyedRequests {
  const { self, claims, mesh, findOwner } = options

  const hashCallKey = (call: Call, operation: KeyedOperation): Result<KeyHash, AppError> =>
    readKey(operation, { path: call.path, headers: call.headers, body: call.body ?? EMPTY_BODY })
      .map((key) => hashKey(call.customer, call.serviceId, operation.name, key))

  const runHere = (call: Call, keyHash: KeyHash): Promise<Result<CompleteResponse, AppError>> => {
    const requestDigest = hashRequest(call.method, call.path, call.body ?? EMPTY_BODY)
    return runAtMostOnce(call, { claims, keyHash, requestDigest })
  }
  const forwardToOwner = (call: Call, owner: EntryId): Promise<Result<CompleteResponse, AppError>> => mesh.forwardRequest(owner, {
    customer: call.customer,
    service: call.serviceId,
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: call.body ?? EMPTY_BODY,
    remainingMs: call.deadlineMs - call.clock.monotonicMs()
  })

  return {
    async runForCaller (call, operation) {
      const key = hashCallKey(call, operation)
      if (key.isErr()) return err(key.error)
      const owner = findOwner(key.value)
      if (owner === self) return runHere(call, key.value)
      const forwarded = await forwardToOwner(call, owner)
      if (forwarded.isOk()) return ok(forwarded.value)
      // When forwarding fails, the key is claimed here instead; the order of the claims in the log decides which attempt runs.
      const own = await runHere(call, key.value)
      // The forwarded copy may still run at the peer, so `not-run` is correct only if no byte reached the peer.
      const isNotRun = own.isErr() && getErrorResponse(own.error.kind).fate === 'not-run'
      if (!isNotRun || forwarded.error.kind === 'peer-unreachable') return own
      return err(createError('claim-elsewhere', `Another entry, which ranks first for the key, may still run the request: ${forwarded.error.message}`))
    },
    async runForPeer (call, operation) {
      const key = hashCallKey(call, operation)
      return key.isErr() ? err(key.error) : runHere(call, key.value)
    }
  }
}
