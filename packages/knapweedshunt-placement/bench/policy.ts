import { mkdirSync, writeFileSync } from 'node:fs'
import { checkCase, checkRouterRestart } from './model/checkTargets.ts'
import type { TargetResult } from './model/checkTargets.ts'
import { LINDQVIST, STEPPE } from './model/deployments.ts'
import { formatCaseName, printCase } from './model/printCase.ts'
import { runCase } from './model/runCase.ts'
import type { Case, CaseResult } from './model/runCase.ts'
import { SCENARIOS } from './model/scenarios.ts'

const OUTPUT_URL = new URL('../../../docs/figures/', import.meta.url)

/** Lists all cases; arguments such as `steppe lunch` select those whose names begin with them. */
function listCases (): Case[] {
  const wanted = process.argv.slice(2).join(' ')
  const modes = [[false, false], [false, true], [true, false], [true, true]]
  return [LINDQVIST, STEPPE]
    .flatMap(deployment => modes.flatMap(([isNear, usesKvStore]) => SCENARIOS.map(scenario => ({ deployment, scenario, isNear, usesKvStore }))))
    .filter(one => formatCaseName(one).startsWith(wanted))
}

function runCases (cases: Case[]): Map<string, CaseResult> {
  const results = new Map<string, CaseResult>()
  for (const one of cases) {
    const result = runCase(one)
    printCase(one, result)
    results.set(formatCaseName(one), result)
  }
  return results
}

function checkCases (cases: Case[], results: Map<string, CaseResult>): TargetResult[] {
  return cases.flatMap(one => {
    const result = results.get(formatCaseName(one)) as CaseResult
    const steady = results.get(formatCaseName(one).replace('herd', 'steady')) as CaseResult
    return [...checkCase(one, result), ...(one.scenario.name === 'herd' ? checkRouterRestart(one, result, steady) : [])]
  })
}

const cases = listCases()
const results = runCases(cases)
const targets = checkCases(cases, results)
console.log('')
for (const { name, isMet, seen } of targets) console.log(`${isMet ? 'met    ' : 'NOT MET'}  ${name}: ${seen}`)
console.log(`${targets.filter(target => target.isMet).length} of ${targets.length} targets met`)
if (process.argv.length === 2) {
  mkdirSync(OUTPUT_URL, { recursive: true })
  writeFileSync(new URL('policy.json', OUTPUT_URL), JSON.stringify({ targets, cases: Object.fromEntries(results) }, null, 1) + '\n')
}
