/**
 * What an entry can take, from what its host provides.
 */
import type { BootSettings } from '../../platform/boot-file.ts'

/** Bandwidth that the bodies of one busy core take, in Mbit/s. */
const LINK_MBPS_PER_CORE = 20

/** Computes the capacity of an entry in cores of normal speed: those of its host, or fewer where its link is full before them. */
export function computeCapacity ({ cpuCores, linkMbps }: Pick<BootSettings, 'cpuCores' | 'linkMbps'>): number {
  return linkMbps === undefined ? cpuCores : Math.min(cpuCores, linkMbps / LINK_MBPS_PER_CORE)
}
