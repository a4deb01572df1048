import { mkdirSync, writeFileSync } from 'node:fs'
import { checkCase, checkHerd } from './model/checkTargets.ts'
import type { TargetResult } from './model/checkTargets.ts'
import { LINDQVIST, STEPPE } from './model/deployments.ts'
import { nameCase, printCase } from './model/printCase.ts'
import { runCase } from './model/runCase.ts'
import type { Case, CaseResult } from './model/runCase.ts'
import { SCENARIOS } from './model/scenarios.ts'

const OUT = new URL('../../../docs/figures/', import.meta.url)

/** All cases; an argument such as `steppe lunch` keeps those whose names begin with it. */
function listCases (): Case[] {
  const wanted = process.argv.slice(2).join(' ')
  const modes = [[false, false], [false, true], [true, false], [true, true]]
  return [LINDQVIST, STEPPE]
    .flatMap(deployment => modes.flatMap(([isNear, isKept]) => SCENARIOS.map(scenario => ({ deployment, scenario, isNear, isKept }))))
    .filter(one => nameCase(one).startsWith(wanted))
}

function runAll (cases: Case[]): Map<string, CaseResult> {
  const results = new Map<string, CaseResult>()
  for (const one of cases) {
    const result = runCase(one)
    printCase(one, result)
    results.set(nameCase(one), result)
  }
  return results
}

function checkAll (cases: Case[], results: Map<string, CaseResult>): TargetResult[] {
  return cases.flatMap(one => {
    const result = results.get(nameCase(one)) as CaseResult
    const steady = results.get(nameCase(one).replace('herd', 'steady')) as CaseResult
    return [...checkCase(one, result), ...(one.scenario.name === 'herd' ? checkHerd(one, result, steady) : [])]
  })
}

const cases = listCases()
const results = runAll(cases)
const targets = checkAll(cases, results)
console.log('')
for (const { name, isMet, seen } of targets) console.log(`${isMet ? 'met    ' : 'NOT MET'}  ${name}: ${seen}`)
console.log(`${targets.filter(target => target.isMet).length} of ${targets.length} targets met`)
if (process.argv.length === 2) {
  mkdirSync(OUT, { recursive: true })
  writeFileSync(new URL('policy.json', OUT), JSON.stringify({ targets, cases: Object.fromEntries(results) }, null, 1) + '\n')
}
