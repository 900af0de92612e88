/**
 * Splits a pool by need. Pure, so that every reader of the same records computes the same shares.
 */

/**
 * Gives each need as much as fits, the smallest needs first, and shares what is left over evenly.
 * The shares are whole numbers and their sum is at most `total`; no share shrinks when `total` grows.
 */
export function splitByNeed (total: number, needs: readonly number[]): number[] {
  const shares = needs.map(() => 0)
  const order = needs.map((_, index) => index).filter((index) => (needs[index] ?? 0) > 0)
  order.sort((a, b) => (needs[a] ?? 0) - (needs[b] ?? 0) || a - b)
  let left = total
  order.forEach((index, place) => {
    const share = Math.min(needs[index] ?? 0, Math.floor(left / (order.length - place)))
    shares[index] = share
    left -= share
  })
  const extra = order.length > 0 ? Math.floor(left / order.length) : 0
  for (const index of order) shares[index] = (shares[index] ?? 0) + extra
  return shares
}
