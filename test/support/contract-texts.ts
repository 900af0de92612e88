/** Options of `createContractText`. */
export interface ContractTextOptions {
  customer?: string
  version?: number
  basedOn?: number
  effectiveAt?: string
  /** Rate limit in requests per second; tests also use it to tell two texts apart. */
  requestsPerSecond?: number
}

/** Returns the text of a small valid contract; `version` is 1 and `basedOn` the version before it by default. */
export function createContractText (options: ContractTextOptions = {}): string {
  const version = options.version ?? 1
  return `// small contract for tests
{
  "customer": "${options.customer ?? 'kyushu'}",
  "version": ${version},
  "basedOn": ${options.basedOn ?? version - 1},
  "effectiveAt": "${options.effectiveAt ?? '2020-01-01T00:00:00Z'}",
  "limits": { "requestsPerSecond": ${options.requestsPerSecond ?? 100}, "concurrentRequests": 50 },
  "entries": { "largestCount": 6, "addressLifetimeMs": 5000 },
  "onceWindowMs": 86400000,
  "services": {
    "slots": {
      "targets": [{ "id": "s1", "address": "127.0.0.1", "port": 9001, "zone": "a" }],
      "slotsPerTarget": 4,
      "connectionsPerTarget": 250,
      "measuring": { "budgetMsPerSecond": 10, "probeCostMs": 6, "connectCostMs": 1 },
      "hedging": { "afterMs": 90, "budgetShare": 0.02 },
      "retries": { "budgetShare": 0.1, "largestAttempts": 2 },
      "ejectedShare": 0.3,
      "queue": { "longest": 20, "longestWaitMs": 200 },
      "coldRampMs": 1000,
      "shedSignal": { "status": 503, "header": "x-shed" },
      "operations": [
        { "name": "status", "method": "GET", "path": "/slots/:slot", "deadlineMs": 1000, "repeatable": true },
        { "name": "charge", "method": "POST", "path": "/slots/:slot/charge", "deadlineMs": 1000, "repeatable": false, "key": { "from": "path", "name": "slot" } }
      ]
    }
  }
}
`
}
