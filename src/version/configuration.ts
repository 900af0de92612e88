/**
 * One version of the configuration: routes by host and path, services and limits for callers.
 */
import type { Brand, ServiceId } from '../types.ts'

/** The version of a configuration; later ones are greater, with gaps. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>

/** What may be repeated: `safe` and `download` requests are idempotent, `unsafe` ones run at most once. */
export type RouteKind = 'safe' | 'unsafe' | 'download'

/** A service with its share of a route's requests. */
export interface WeightedService { service: ServiceId, weight: number }

/** One route. Times in ms. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** The longest that a caller is kept waiting. */
  timeoutMs: number
  /** Within this time an answer is worth most. */
  targetLatencyMs: number
  /** Rank; 0 is the most urgent. */
  priority: number
  /** Targets to which one request may be sent at most. */
  mostAttempts: number
  /** One service or more, each with its share. */
  services: readonly WeightedService[]
}

/** One service. */
export interface ServiceConfiguration {
  name: ServiceId
  healthPath: string
  /** Connections that one target accepts from all entries together. */
  mostConnections: number
}

/** Bounds on what callers may send. Times in ms. */
export interface CallerLimits {
  largestHeaderBytes: number
  largestBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A configuration. */
export interface Configuration {
  version: ConfigurationVersion
  routes: readonly Route[]
  services: ReadonlyMap<ServiceId, ServiceConfiguration>
  limits: CallerLimits
}

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
export type FindRoute = (host: string, path: string) => Route | undefined

/** Whether running a request of this kind twice does no harm. */
export function isIdempotent (kind: RouteKind): boolean {
  switch (kind) {
    case 'safe':
    case 'download': return true
    case 'unsafe': return false
  }
}

function parseHostName (host: string): string {
  const at = host.indexOf(':')
  return (at < 0 ? host : host.slice(0, at)).toLowerCase()
}

/** Builds the lookup of a configuration's routes; a lookup costs one step for each slash of the path. */
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
