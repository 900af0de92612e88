/**
 * The programs that the relay bench starts: a target that responds at once, and two bare relays for comparison.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { parseArgs } from 'node:util'
import { Agent, stream } from 'undici'
import type { Dispatcher } from 'undici'

const KEEP_ALIVE_MS = 60_000
const MAX_CONNECTIONS = 128

/** The methods of the HTTP client library by which a bare relay can forward responses. */
export const RELAY_METHODS = ['stream', 'dispatch'] as const
type RelayMethod = typeof RELAY_METHODS[number]

async function startListening (server: Server, address: string | undefined, port: string | undefined): Promise<number> {
  server.keepAliveTimeout = KEEP_ALIVE_MS
  server.listen(Number(port), address, () => console.log('listens'))
  await once(server, 'close')
  return 0
}

/** Runs the target of the relay bench until it is ended; returns the exit code. */
export async function runRelayTarget (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { address: { type: 'string' }, port: { type: 'string' } } })
  const body = JSON.stringify({ slot: 1, state: 'booked' })
  const server = createServer((request, response) => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length, 'x-request-id': request.headers['x-request-id'] ?? '' })
    response.end(body)
  })
  return startListening(server, values.address, values.port)
}

/** Forwards a request with `stream` of the library. */
function forwardByStream (agent: Agent, to: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
  const options = { dispatcher: agent, method: 'GET' as const, opaque: outgoing }
  stream(`${to}${incoming.url}`, options, ({ statusCode, headers }) => {
    outgoing.writeHead(statusCode, headers as Record<string, string>)
    return outgoing
  }).catch(() => outgoing.destroy())
}

/** Forwards a request with `dispatch` of the library, and writes each chunk to the response itself. */
function forwardByDispatch (agent: Agent, to: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart () {},
    onResponseStart (_, status, headers) { outgoing.writeHead(status, headers as Record<string, string>) },
    onResponseData (_, chunk) { outgoing.write(chunk) },
    onResponseEnd () { outgoing.end() },
    onResponseError () { outgoing.destroy() }
  }
  agent.dispatch({ origin: to, method: 'GET', path: incoming.url ?? '/' }, handler)
}

/** Runs a relay without limits, target selection or execution status until it is ended; returns the exit code. */
export async function runBareRelay (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { address: { type: 'string' }, port: { type: 'string' }, to: { type: 'string' }, way: { type: 'string' } } })
  const way = RELAY_METHODS.find((name) => name === values.way) ?? 'stream'
  const agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 })
  const forwardFunctions: Record<RelayMethod, typeof forwardByStream> = { stream: forwardByStream, dispatch: forwardByDispatch }
  const server = createServer((incoming, outgoing) => forwardFunctions[way](agent, values.to ?? '', incoming, outgoing))
  return startListening(server, values.address, values.port)
}
