/**
 * Finds the customer of a request by the key that it carries.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { getKey } from '../../platform/wire-names.ts'
import type { Route } from '../../version/configuration.ts'
import { computeKeyDigest } from '../../version/customer-keys.ts'
import type { CustomerTerms, FindCustomer } from '../../version/customer-keys.ts'

/**
 * Finds the customer that holds a request's key; undefined when the request needs no key. `findCustomer` is undefined in a
 * configuration without customers. Errors: `key-unknown`, whose message never states the key.
 */
export function findRequestCustomer (headers: IncomingHttpHeaders, route: Route, findCustomer: FindCustomer | undefined): Result<CustomerTerms | undefined, AppError> {
  if (!findCustomer) return ok(undefined)
  const key = getKey(headers)
  if (key === undefined) {
    return route.allowsAnonymous ? ok(undefined) : err(createError('key-unknown', 'The request carries no key of the form "Authorization: Token KEY".'))
  }
  const customer = findCustomer(computeKeyDigest(key))
  return customer ? ok(customer) : err(createError('key-unknown', 'The key belongs to no customer of the configuration in effect.'))
}
