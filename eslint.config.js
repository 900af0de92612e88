// Linter: Standard style with the project's own rules on names, size and imports.
import { readFileSync } from 'node:fs'
import neostandard, { plugins } from 'neostandard'

const ignores = ['dist/**', '.work/**', 'target/**', 'journal/**']
const typescriptFiles = ['**/*.ts']
const MAX_FILE_LINES = 400
const MAX_OWN_LINES = 60
const MAX_COMPLEXITY = 14

/** Reads the allowed verbs from the list in docs/STYLE.md, so that they stand in one place. */
function readVerbs () {
  const text = readFileSync(new URL('docs/STYLE.md', import.meta.url), 'utf8')
  const list = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(text)
  if (!list) throw new Error('docs/STYLE.md has no verb list; put it between <!-- verbs --> and <!-- /verbs -->')
  return list[1].match(/[a-z]+/g)
}

/** Counts the lines of a function without those of the functions inside it, so that a factory may hold several short ones. */
const functionLengthRule = {
  create (context) {
    const nested = []
    const countLines = (node) => node.loc.end.line - node.loc.start.line + 1
    const enter = () => { nested.push(0) }
    const leave = (node) => {
      const inner = nested.pop()
      const own = countLines(node) - inner
      if (nested.length > 0) nested[nested.length - 1] += countLines(node) - 1
      if (own > MAX_OWN_LINES) context.report({ node, message: `This function has ${own} lines of its own; split it to stay within ${MAX_OWN_LINES}.` })
    }
    return {
      FunctionDeclaration: enter,
      FunctionExpression: enter,
      ArrowFunctionExpression: enter,
      'FunctionDeclaration:exit': leave,
      'FunctionExpression:exit': leave,
      'ArrowFunctionExpression:exit': leave
    }
  }
}

const verbPattern = `/^(${readVerbs().join('|')})($|[A-Z0-9])/`
const verbMessage = 'Begin the function name with a verb of the list in docs/STYLE.md.'

export default [
  ...neostandard({ ts: true, ignores }),
  {
    files: typescriptFiles,
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/no-explicit-any': 'error',
      'n/prefer-node-protocol': 'error',
      'max-lines': ['error', { max: MAX_FILE_LINES, skipBlankLines: true }],
      complexity: ['error', MAX_COMPLEXITY],
      'no-restricted-syntax': ['error',
        { selector: `FunctionDeclaration[id.name!=${verbPattern}]`, message: verbMessage },
        { selector: `VariableDeclarator[init.type="ArrowFunctionExpression"][id.name!=${verbPattern}]`, message: verbMessage },
        { selector: 'ExportDefaultDeclaration', message: 'Use a named export.' },
        { selector: 'ClassDeclaration', message: 'Use a factory function that closes over its state.' }
      ]
    }
  },
  {
    files: ['src/**/*.ts', 'stand-ins/**/*.ts', 'replay/**/*.ts'],
    plugins: { local: { rules: { 'function-length': functionLengthRule } } },
    rules: { 'local/function-length': 'error' }
  },
  { files: ['vitest.config.ts'], rules: { 'no-restricted-syntax': 'off' } }
]
