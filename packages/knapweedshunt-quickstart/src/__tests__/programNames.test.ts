import { execFile } from 'node:child_process'
import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import test from 'ava'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const run = promisify(execFile)

/** Names of all programs in the `bin` fields of the packages. */
function listPrograms (): string[] {
  return readdirSync(`${ROOT}packages`).flatMap(name => {
    const { bin = {} } = JSON.parse(readFileSync(`${ROOT}packages/${name}/package.json`, 'utf8')) as { bin?: Record<string, string> }
    return Object.keys(bin)
  })
}

test('each program runs by its bin name after installation and build', async t => {
  const programs = listPrograms()
  t.true(programs.includes('knapweedshunt-router') && programs.includes('knapweedshuntctl'))
  await run('npm', ['run', '-s', 'build'], { cwd: ROOT })
  for (const program of programs) {
    const { stdout } = await run(`${ROOT}node_modules/.bin/${program}`, ['--help'])
    t.regex(stdout, new RegExp(program), program)
  }
})
