// Formatter: only the layout rules of Standard style. `npm run format` applies them.
import neostandard from 'neostandard'

const ignores = ['dist/**', '.work/**', 'target/**', 'journal/**']

function keepLayoutRules (config) {
  if (!config.rules) return config
  const entries = Object.entries(config.rules)
  const rules = Object.fromEntries(entries.filter(([name]) => name.startsWith('@stylistic/')))
  return { ...config, rules, linterOptions: { reportUnusedDisableDirectives: 'off' } }
}

export default neostandard({ ts: true, ignores }).map(keepLayoutRules)
