import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import path from 'node:path'
import test from 'ava'

const REPOSITORY = fileURLToPath(new URL('../../../..', import.meta.url))

/** Programs that serve nobody: their requests may cost what they like. */
const CLIENT_PACKAGES = ['knapweedshunt-load', 'knapweedshunt-cli']

/** Lists the sources of all programs that serve callers, without tests. */
function listSources (): string[] {
  const packages = readdirSync(path.join(REPOSITORY, 'packages')).filter(name => !CLIENT_PACKAGES.includes(name)).map(name => path.join('packages', name))
  return [...packages, 'platform'].flatMap(directory => {
    const source = path.join(directory, 'src')
    return readdirSync(path.join(REPOSITORY, source), { recursive: true, encoding: 'utf8' }).map(file => path.join(source, file))
  }).filter(file => file.endsWith('.ts') && !file.includes('__tests__'))
}

function findSources (pattern: RegExp): string[] {
  return listSources().filter(file => pattern.test(readFileSync(path.join(REPOSITORY, file), 'utf8')))
}

// Guards against a new kind of request whose response is not bounded: each incident of answers without an end came from a place that had been left out.
test('the responses to all requests that are sent are bounded', t => {
  const senders = findSources(/\bhttp\.(request|get)\(/)
  t.true(senders.length > 3)
  const unbounded = senders.filter(file => !/\b(limitResponse|waitForHead)\(/.test(readFileSync(path.join(REPOSITORY, file), 'utf8')))
  t.deepEqual(unbounded, [])
})

// Guards against connections that are parsed without turns.
test('all client connections are paced', t => {
  t.deepEqual(findSources(/\bnew http\.Agent\(|agent: false/), [])
})
