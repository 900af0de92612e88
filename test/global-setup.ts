import { execFileSync } from 'node:child_process'

/** Bundles the programs once before all tests, so that tests with real processes run the current code. */
export function setup (): void {
  execFileSync(process.execPath, ['scripts/bundle.mjs'], { stdio: 'inherit' })
  execFileSync(process.execPath, ['scripts/bundle.mjs', '--platform'], { stdio: 'inherit' })
}
