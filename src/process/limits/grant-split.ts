/**
 * Splits a pool by need. It depends on its arguments only, so all readers of the same records compute the same shares.
 */

/**
 * Splits `total` by max-min fairness: the smallest needs are met first, and what is left over is shared evenly among all
 * needs above 0. The shares are whole numbers, their sum is at most `total`, and no share shrinks when `total` grows.
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
