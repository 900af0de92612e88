/**
 * A deployment on loopback addresses: a sample's contract with as many targets as the machine bears.
 */
import { readFileSync } from 'node:fs'
import { contractSchema } from '../src/version/contract.ts'
import type { ServiceContract } from '../src/version/contract.ts'
import { parseJsonc } from '../src/version/jsonc.ts'

const LOG_INDEX = 1
const ENTRY_INDEX = 11
const TARGET_INDEX = 101
const LOG_PORT = 7000
const HOST_LIST_PORT = 7001
const CALLER_PORT = 8080
const OPERATOR_PORT = 8081
const PEER_PORT = 8082
const TARGET_PORT = 8000
/** Clients take up to 2 s off what a server advertises, and would open a connection for each request. */
const KEEP_ALIVE_MS = 3_000
const STOP_SLACK_MS = 500

/** The samples under `samples/`. */
export const SAMPLES = ['kyushu', 'arequipa'] as const
/** The name of a sample. */
export type Sample = typeof SAMPLES[number]

/** One entry host of a deployment. */
export interface EntryHost { id: string, zone: string, address: string, callerPort: number, operatorPort: number, peerPort: number }
/** One target of a deployment. */
export interface TargetHost { service: string, id: string, zone: string, address: string, port: number, slots: number }

/** What is needed to start all processes. */
export interface Deployment {
  customer: string
  logAddress: string
  logPort: number
  hostListPort: number
  entries: EntryHost[]
  targets: TargetHost[]
  /** The contract as JSON text. */
  contractText: string
  services: Record<string, ServiceContract>
  addressLifetimeMs: number
}

/** How to lay out a deployment. */
export interface DeploymentOptions {
  sample: Sample
  /** The folder that holds `samples/`. */
  root: string
  /** The first three bytes of every address, such as `127.77.1`. */
  network: string
  /** Entry processes. */
  entryCount: number
  /** The largest number of targets for each service; those of the sample when left out. */
  targetCount?: number
  /** Changes the contract before it is published. */
  changeContract?: (contract: ReturnType<typeof readSample>) => void
}

/** Reads the contract of a sample; throws when it is not valid. */
function readSample (root: string, sample: Sample) {
  const text = readFileSync(`${root}/samples/${sample}/contract.jsonc`, 'utf8')
  return parseJsonc(text, contractSchema)._unsafeUnwrap()
}

/** Lays out a deployment. */
export function createDeployment (options: DeploymentOptions): Deployment {
  const { network, entryCount, targetCount } = options
  const contract = readSample(options.root, options.sample)
  options.changeContract?.(contract)
  const zones = new Set<string>()
  const targets: TargetHost[] = []
  for (const [service, serviceContract] of Object.entries(contract.services)) {
    for (const target of serviceContract.targets) zones.add(target.zone)
    serviceContract.targets = serviceContract.targets.slice(0, targetCount)
    for (const target of serviceContract.targets) {
      target.address = `${network}.${TARGET_INDEX + targets.length}`
      target.port = TARGET_PORT
      targets.push({ service, slots: serviceContract.slotsPerTarget, ...target })
    }
  }
  const zoneList = [...zones]
  const entries = Array.from({ length: entryCount }, (_, index) => ({
    id: `entry-${index + 1}`,
    zone: zoneList[index % zoneList.length] ?? 'zone-a',
    address: `${network}.${ENTRY_INDEX + index}`,
    callerPort: CALLER_PORT,
    operatorPort: OPERATOR_PORT,
    peerPort: PEER_PORT
  }))
  return {
    customer: contract.customer,
    logAddress: `${network}.${LOG_INDEX}`,
    logPort: LOG_PORT,
    hostListPort: HOST_LIST_PORT,
    entries,
    targets,
    contractText: JSON.stringify(contract, undefined, 2),
    services: contract.services as unknown as Record<string, ServiceContract>,
    addressLifetimeMs: contract.entries.addressLifetimeMs
  }
}

/** Returns the settings of one entry as JSON text. */
export function formatSettings (deployment: Deployment, entry: EntryHost): string {
  const platform = `http://${deployment.logAddress}`
  return JSON.stringify({
    entry,
    log: { url: `${platform}:${deployment.logPort}` },
    hostList: { url: `${platform}:${deployment.hostListPort}` },
    peerKey: 'loopback-peer-key',
    keepAliveMs: KEEP_ALIVE_MS,
    stopSlackMs: STOP_SLACK_MS,
    logLevel: 'info'
  }, undefined, 2)
}

/** Returns the platform's host list as JSON text. */
export function formatHostList (deployment: Deployment): string {
  const entries = deployment.entries.map(({ id, zone, address, callerPort, peerPort }) => ({ id, role: 'entry', address, port: callerPort, peerPort, zone, state: 'live' }))
  const targets = deployment.targets.map(({ id, zone, address, port }) => ({ id, role: 'target', address, port, zone, state: 'live' }))
  return JSON.stringify({ hosts: [...entries, ...targets] }, undefined, 2)
}
