// Bundles each program into one CommonJS file under dist/, for tests, the demo and the binary.
// With --platform, bundles only the gateway, into target/, for the users' platform.
import { execFileSync, spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, writeFileSync, renameSync } from 'node:fs'
import { build } from 'esbuild'

const PLATFORM_ENTRY_POINTS = { gateway: 'src/cli/gateway-main.ts', start: 'src/cli/cached-start.ts', exercise: 'stand-ins/exercise-main.ts' }
const ALL_ENTRY_POINTS = {
  gateway: PLATFORM_ENTRY_POINTS.gateway,
  medlarcove: 'src/cli/main.ts',
  'stand-in-log': 'stand-ins/log-main.ts',
  'stand-in-host-list': 'stand-ins/host-list-main.ts',
  'stand-in-target': 'stand-ins/target-main.ts',
  replay: 'replay/main.ts',
  demo: 'replay/demo-main.ts',
  bench: 'bench/main.ts',
  soak: 'soak/main.ts'
}
const isPlatform = process.argv.includes('--platform')
const ENTRY_POINTS = isPlatform ? PLATFORM_ENTRY_POINTS : ALL_ENTRY_POINTS
const OUT_FOLDER = isPlatform ? 'target' : 'dist'
// Optional dependencies that the libraries load when present; each has a fallback in JavaScript.
const OPTIONAL_PACKAGES = /^(dtrace-provider|source-map-support|mv|cbor-extract|safe-json-stringify)$/

/** Makes loading an optional package always fail, so that the binary, which cannot load files, behaves like the bundle and prints no warning. */
const withoutOptionalPackages = {
  name: 'without-optional-packages',
  setup (build) {
    build.onResolve({ filter: OPTIONAL_PACKAGES }, ({ path }) => ({ path, namespace: 'missing' }))
    build.onLoad({ filter: /.*/, namespace: 'missing' }, ({ path }) => ({ contents: `throw new Error('${path} is not bundled')` }))
  }
}

/**
 * Removes code that the gateway does not use, since a restarting process serves no requests while it loads. Of undici it
 * keeps the client for HTTP/1.1, the pool, the connector and the request methods; of zod's locales it keeps only English.
 */
const withoutUnusedParts = {
  name: 'without-unused-parts',
  setup (build) {
    const parts = {
      Client: 'undici/lib/dispatcher/client.js',
      Pool: 'undici/lib/dispatcher/pool.js',
      buildConnector: 'undici/lib/core/connect.js'
    }
    const exported = Object.entries(parts).map(([name, path]) => `exports.${name} = require('${path}')`)
    const methods = "Object.assign(require('undici/lib/dispatcher/dispatcher.js').prototype, require('undici/lib/api/index.js'))"
    const contents = [...exported, methods].join('\n')
    build.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'parts' }))
    build.onLoad({ filter: /.*/, namespace: 'parts' }, () => ({ contents, resolveDir: process.cwd() }))
    // Targets speak HTTP/1.1 only; the HTTP/2 client would load the HTTP/2 module of Node.js.
    build.onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({ contents: "module.exports = () => { throw new Error('HTTP/2 is not bundled') }" }))
    build.onLoad({ filter: /zod\/v4\/locales\/[\w-]+\.js$/ }, ({ path }) => {
      const isUsed = path.endsWith('/en.js') || path.endsWith('/index.js')
      return isUsed ? undefined : { contents: 'export default () => ({ localeError: undefined })' }
    })
  }
}

const present = Object.entries(ENTRY_POINTS).filter(([, file]) => existsSync(file))
const result = await build({
  entryPoints: Object.fromEntries(present),
  outdir: OUT_FOLDER,
  minify: isPlatform,
  keepNames: isPlatform,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  mainFields: ['module', 'main'],
  plugins: isPlatform ? [withoutOptionalPackages, withoutUnusedParts] : [withoutOptionalPackages],
  write: false,
  logLevel: 'warning'
})
mkdirSync(OUT_FOLDER, { recursive: true })
for (const file of result.outputFiles) {
  // Written under a temporary name and renamed, so that a process that starts meanwhile never reads a partial file.
  const temporary = `${file.path}.${process.pid}.tmp`
  writeFileSync(temporary, file.contents)
  renameSync(temporary, file.path)
}
// The Node.js options match deploy/system.toml, since cached code is usable only by a runtime with the same options.
const START_OPTIONS = ['--max-old-space-size=256']

/**
 * Writes the compiled code of the gateway after it has served requests of a stand-in, which compiles the functions that a
 * restarted process needs first. Where that fails, the code is written after a start without requests.
 */
function writeCompiledCode () {
  const program = `${OUT_FOLDER}/start.cjs`
  const exercised = spawnSync(process.execPath, [`${OUT_FOLDER}/exercise.cjs`, program, ...START_OPTIONS], { stdio: ['ignore', 'ignore', 'inherit'] })
  if (exercised.status === 0) return
  console.warn('The gateway could not be exercised; its compiled code covers the start only.')
  execFileSync(process.execPath, [...START_OPTIONS, program, '--write-code', '--help'], { stdio: 'ignore' })
}

if (isPlatform) writeCompiledCode()
