/**
 * Starts the bundled gateway in the folder of this file from V8's compiled code, which the build wrote, so that a restarted
 * process serves sooner. When that code is missing or does not fit this runtime, the program is compiled as usual.
 *
 * With `--write-code` as the first argument, as in the build, the compiled code is written when the process exits.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire, wrap } from 'node:module'
import path from 'node:path'
import { Script } from 'node:vm'
import { describeCause } from '../errors.ts'

const WRITE_OPTION = '--write-code'

type RunModule = (exports: object, require: NodeJS.Require, module: { exports: object }, file: string, folder: string) => void

function warn (message: string): void {
  process.stderr.write(`medlarcove: ${message}; the start takes longer\n`)
}

/** Reads the compiled code; prints a warning and returns undefined when it cannot be read. */
function readCompiledCode (file: string): Buffer | undefined {
  try {
    return readFileSync(file)
  } catch (cause) {
    warn(`the compiled code cannot be read: ${describeCause(cause)}`)
    return undefined
  }
}

function runGateway (folder: string, isWriting: boolean): void {
  const file = path.join(folder, 'gateway.cjs')
  const compiledFile = path.join(folder, 'gateway.code')
  const cachedData = isWriting ? undefined : readCompiledCode(compiledFile)
  const script = new Script(wrap(readFileSync(file, 'utf8')), { filename: file, cachedData })
  if (script.cachedDataRejected) warn('the compiled code does not fit this runtime')
  if (isWriting) process.on('exit', () => writeFileSync(compiledFile, script.createCachedData()))
  const program = { exports: {} }
  const runModule = script.runInThisContext() as RunModule
  runModule(program.exports, createRequire(file), program, file, folder)
}

const isWriting = process.argv[2] === WRITE_OPTION
if (isWriting) process.argv.splice(2, 1)
runGateway(__dirname, isWriting)
