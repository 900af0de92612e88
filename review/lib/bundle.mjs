// Bundles the project's stand-in of the platform's store for the scripts of the cases.
import { build } from 'esbuild'

await build({
  entryPoints: { 'platform-store': 'stand-ins/platform-store.ts' },
  outdir: 'target/review',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  logLevel: 'warning'
})
