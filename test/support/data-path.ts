import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createHostClock } from '../../src/clock.ts'
import { createTargetPool } from '../../src/connection/target-pool.ts'
import type { TargetPool } from '../../src/connection/target-pool.ts'
import { createTargetSet } from '../../src/process/targets/local-target-set.ts'
import type { Call } from '../../src/request/call.ts'
import { watchCaller } from '../../src/request/caller-connection.ts'
import type { CallerConnection } from '../../src/request/caller-connection.ts'
import { sendError } from '../../src/request/error-response.ts'
import { forwardResponse } from '../../src/request/forward-response.ts'
import { filterCallerHeaders } from '../../src/request/headers.ts'
import { fetchResponse } from '../../src/request/idempotent-request.ts'
import { toBrand } from '../../src/types.ts'
import type { ContractVersion, CustomerId, EntryId, RequestId, ServiceId, TargetId, ZoneId } from '../../src/types.ts'
import type { Contract, ContractTarget, ServiceContract } from '../../src/version/contract.ts'
import { buildService } from './target-service.ts'

const HOST = '127.0.0.1'

async function startServer (listener: RequestListener): Promise<{ server: Server, port: number }> {
  const server = createServer(listener)
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  return { server, port: (server.address() as AddressInfo).port }
}

/**
 * Starts one target for each listener, and a server with an entry's data path in front of them; `broken` collects the
 * error kinds of responses that could not be relayed completely.
 */
export async function startDataPath (listeners: RequestListener[], changes: Partial<ServiceContract> = {}) {
  const clock = createHostClock()
  const servers = await Promise.all(listeners.map(startServer))
  const targets: ContractTarget[] = servers.map(({ port }, index) => ({
    id: toBrand<TargetId>(`t${index}`), address: HOST, port, zone: toBrand<ZoneId>('zone-0')
  }))
  const service = buildService(1, { targets, retries: { budgetShare: 1, largestAttempts: 3 }, ...changes })
  const contract = { version: toBrand<ContractVersion>(7), services: {} } as unknown as Contract
  const set = createTargetSet({
    customer: toBrand<CustomerId>('kyushu'),
    serviceId: toBrand<ServiceId>('booking'),
    service,
    self: toBrand<EntryId>('e0'),
    entries: [toBrand<EntryId>('e0')],
    maxEntries: 1,
    clock,
    audit: { record: () => undefined },
    random: () => 0
  })
  const pools = new Map<TargetId, TargetPool>(targets.map((target) => [target.id, createTargetPool({ target, maxConnections: 20, clock })]))
  const broken: string[] = []
  let requestCount = 0
  const buildCall = (incoming: IncomingMessage, caller: CallerConnection): Call => ({
    id: toBrand<RequestId>(`r${requestCount++}`),
    customer: toBrand<CustomerId>('kyushu'),
    serviceId: toBrand<ServiceId>('booking'),
    contract,
    service,
    operation: service.operations[0]!,
    links: { targets: set, getPool: (target) => pools.get(target.id)! },
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: filterCallerHeaders(incoming.headers),
    body: undefined,
    firstAttemptNumber: 1,
    deadlineMs: clock.monotonicMs() + service.operations[0]!.deadlineMs,
    caller,
    maxPauseMs: 30_000,
    clock,
    triedTargets: new Set(),
    recordIncompleteResponse: (error) => broken.push(error.kind)
  })
  const entry = await startServer((incoming, outgoing) => {
    const call = buildCall(incoming, watchCaller(outgoing))
    fetchResponse(call).then(async (result) => {
      if (result.isErr()) sendError(outgoing, result.error)
      else await forwardResponse(call, result.value, outgoing)
    }).catch(() => outgoing.destroy())
  })
  return {
    url: `http://${HOST}:${entry.port}`,
    set,
    pools,
    broken,
    buildCall,
    close () {
      set.close()
      for (const pool of pools.values()) pool.close()
      for (const { server } of [...servers, entry]) {
        server.closeAllConnections()
        server.close()
      }
    }
  }
}
