const BYTE = 256
const FIRST_SECOND_BYTE = 16

/**
 * Returns a loopback address that no other process uses: two bytes from the process id, one chosen here.
 * With it, tests and benches of several work trees run side by side on the same ports.
 */
export function getLoopbackAddress (index: number): string {
  const high = FIRST_SECOND_BYTE + Math.floor(process.pid / BYTE) % (BYTE - FIRST_SECOND_BYTE)
  return `127.${high}.${process.pid % BYTE}.${index}`
}
