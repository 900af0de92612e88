import { execFileSync } from 'node:child_process'

/** Bundles the programs once, so that tests with real processes start the present code. */
export function setup (): void {
  execFileSync(process.execPath, ['scripts/bundle.mjs'], { stdio: 'inherit' })
}
