/**
 * One version of the configuration: routes by host and path, services, customers, and limits for callers.
 */
import type { Brand, ServiceId } from '../types.ts'
import type { CustomerTerms } from './customer-keys.ts'

/** Version of a configuration. Later versions are greater, not always by 1. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>

/**
 * Kind of a route's requests: `safe` and `download` requests are idempotent, `unsafe` and `upload` ones run at most once.
 * Responses to `download` and bodies of `upload` requests are large.
 */
export type RouteKind = 'safe' | 'unsafe' | 'download' | 'upload'

/** A service of a route, with its weight among the route's services. */
export interface WeightedService { service: ServiceId, weight: number }

/** One route. Times in ms. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Maximum time that a caller is kept waiting. */
  timeoutMs: number
  /** Latency target: a response within this time is worth most. */
  targetLatencyMs: number
  /** Priority in the request queue; 0 is the most urgent. */
  priority: number
  /** Maximum number of targets to which one request may be sent. */
  maxAttempts: number
  /** The services that share the requests; at least one. */
  services: readonly WeightedService[]
  /** Whether requests need no key, in a configuration with customers. */
  allowsAnonymous: boolean
}

/** How new targets of a service warm up. */
export interface WarmUp {
  /** How long a target stays cold after its start, in ms. */
  durationMs: number
  /** Requests per second that a cold target bears from all entries together. */
  requestsPerSecond: number
}

/** Settings of one service. */
export interface ServiceConfiguration {
  name: ServiceId
  healthPath: string
  /** Maximum connections that one target accepts from all entries together. */
  maxConnections: number
  /** Undefined when cold targets need no protection. */
  warmUp: WarmUp | undefined
}

/** Limits on callers' requests; times in ms. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A configuration. */
export interface Configuration {
  version: ConfigurationVersion
  routes: readonly Route[]
  services: ReadonlyMap<ServiceId, ServiceConfiguration>
  /** The customers whose keys requests must carry; undefined when requests need no key. */
  customers: readonly CustomerTerms[] | undefined
  limits: CallerLimits
}

/** Finds the route of a request: the one with the longest prefix of its path among the routes of its host. */
export type FindRoute = (host: string, path: string) => Route | undefined

/** Returns whether requests of this kind are idempotent. */
export function isIdempotent (kind: RouteKind): boolean {
  switch (kind) {
    case 'safe':
    case 'download': return true
    case 'unsafe':
    case 'upload': return false
  }
}

function parseHostName (host: string): string {
  const at = host.indexOf(':')
  return (at < 0 ? host : host.slice(0, at)).toLowerCase()
}

/** Creates the lookup of a configuration's routes. One lookup takes at most one step for each slash of the path. */
export function createRouteFinder (routes: readonly Route[]): FindRoute {
  const byHostAndPrefix = new Map<string, Route>()
  for (const route of routes) byHostAndPrefix.set(`${route.host.toLowerCase()} ${route.pathPrefix}`, route)
  return (host, target) => {
    const queryAt = target.indexOf('?')
    const path = queryAt < 0 ? target : target.slice(0, queryAt)
    const hostName = parseHostName(host)
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = byHostAndPrefix.get(`${hostName} ${path.slice(0, end + 1)}`)
      if (route) return route
    }
    return undefined
  }
}
