const BYTE_VALUES = 256
const MIN_SECOND_BYTE = 16

/**
 * Returns a loopback address of this process: its second and third byte are computed from the process id, and the last
 * byte is `index`. Tests and benches that run at the same time can then listen on the same ports.
 */
export function getLoopbackAddress (index: number): string {
  const secondByte = MIN_SECOND_BYTE + Math.floor(process.pid / BYTE_VALUES) % (BYTE_VALUES - MIN_SECOND_BYTE)
  return `127.${secondByte}.${process.pid % BYTE_VALUES}.${index}`
}
