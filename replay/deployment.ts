/**
 * A deployment on loopback addresses: the contract of a sample, with no more targets than one machine can run.
 */
import { readFileSync } from 'node:fs'
import { contractSchema } from '../src/version/contract.ts'
import type { ServiceContract } from '../src/version/contract.ts'
import { parseJsonc } from '../src/version/jsonc.ts'

const LOG_HOST_NUMBER = 1
const FIRST_ENTRY_HOST_NUMBER = 11
const FIRST_TARGET_HOST_NUMBER = 101
const LOG_PORT = 7000
const HOST_LIST_PORT = 7001
const CALLER_PORT = 8080
const OPERATOR_PORT = 8081
const PEER_PORT = 8082
const TARGET_PORT = 8000
/**
 * Clients subtract up to 2 s from the keep-alive time that a server advertises. With too short a time they would open
 * a connection for each request.
 */
const KEEP_ALIVE_MS = 3_000
const STOP_SLACK_MS = 500

/** Names of the samples under `samples/`. */
export const SAMPLES = ['kyushu', 'arequipa'] as const
/** The name of a sample. */
export type Sample = typeof SAMPLES[number]

/** One entry of a deployment. Written to the settings file of the entry. */
export interface EntryHost { id: string, zone: string, address: string, callerPort: number, operatorPort: number, peerPort: number }
/** One target of a deployment. */
export interface TargetHost { service: string, id: string, zone: string, address: string, port: number, slots: number }

/** The addresses, hosts and contract that all processes are started with. */
export interface Deployment {
  customer: string
  logAddress: string
  logPort: number
  hostListPort: number
  entries: EntryHost[]
  targets: TargetHost[]
  /** The contract to publish, as JSON text. */
  contractText: string
  services: Record<string, ServiceContract>
  /** How long callers may use the addresses that an entry lists, in ms. */
  addressLifetimeMs: number
}

/** Options of `createDeployment`. */
export interface DeploymentOptions {
  sample: Sample
  /** The folder that holds `samples/`. */
  root: string
  /** The first three bytes of every address, such as `127.77.1`. */
  network: string
  /** Number of entry processes. */
  entryCount: number
  /** Largest number of targets for each service; all targets of the sample when left out. */
  maxTargetsPerService?: number
  /** Changes the contract before the targets get their addresses. */
  changeContract?: (contract: ReturnType<typeof readSample>) => void
}

/** Reads the contract of a sample; throws when it is invalid. */
function readSample (root: string, sample: Sample) {
  const text = readFileSync(`${root}/samples/${sample}/contract.jsonc`, 'utf8')
  return parseJsonc(text, contractSchema)._unsafeUnwrap()
}

/**
 * Creates a deployment: assigns addresses to entries and targets, and spreads the entries over the zones of the sample.
 */
export function createDeployment (options: DeploymentOptions): Deployment {
  const { network, entryCount, maxTargetsPerService } = options
  const contract = readSample(options.root, options.sample)
  options.changeContract?.(contract)
  const zones = new Set<string>()
  const targets: TargetHost[] = []
  for (const [service, serviceContract] of Object.entries(contract.services)) {
    for (const target of serviceContract.targets) zones.add(target.zone)
    serviceContract.targets = serviceContract.targets.slice(0, maxTargetsPerService)
    for (const target of serviceContract.targets) {
      target.address = `${network}.${FIRST_TARGET_HOST_NUMBER + targets.length}`
      target.port = TARGET_PORT
      targets.push({ service, slots: serviceContract.slotsPerTarget, ...target })
    }
  }
  const zoneNames = [...zones]
  const entries = Array.from({ length: entryCount }, (_, index) => ({
    id: `entry-${index + 1}`,
    zone: zoneNames[index % zoneNames.length] ?? 'zone-a',
    address: `${network}.${FIRST_ENTRY_HOST_NUMBER + index}`,
    callerPort: CALLER_PORT,
    operatorPort: OPERATOR_PORT,
    peerPort: PEER_PORT
  }))
  return {
    customer: contract.customer,
    logAddress: `${network}.${LOG_HOST_NUMBER}`,
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
  const platformUrl = `http://${deployment.logAddress}`
  return JSON.stringify({
    entry,
    log: { url: `${platformUrl}:${deployment.logPort}` },
    hostList: { url: `${platformUrl}:${deployment.hostListPort}` },
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
