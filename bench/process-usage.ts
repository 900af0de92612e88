/**
 * Reads what a process uses, from the operating system.
 */
import { readFileSync } from 'node:fs'

const MS_PER_TICK = 10
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12

/** Reads the processor time that a process has used so far, in ms. */
export function readCpuMs (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The second field is the name in brackets, which may hold spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * MS_PER_TICK
}

/** Reads the memory that a process holds at present, in KB. */
export function readResidentKb (pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/^VmRSS:\s+(\d+) kB/m.exec(text)?.[1] ?? 0)
}
