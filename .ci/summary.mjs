// Reads TAP output and KNOWN-RED.txt; prints the failed tests with their reports, then the counts. Failures listed there as `test: <title>` do not fail the run.
import fs from 'node:fs'

/** Length at which the report of a failed test is cut, in characters. */
const MAX_REPORT_CHARS = 4_000

const [file, exitCode, option] = process.argv.slice(2)
// The output was shown already.
const isBrief = option === '--brief'
const text = fs.readFileSync(file, 'utf8')
const lines = text.split('\n')
const passed = lines.filter(line => /^ok \d+/.test(line) && !/# (SKIP|TODO)/i.test(line)).map(nameOf)
const failed = lines.filter(line => /^not ok \d+/.test(line)).map(nameOf)
const known = fs.existsSync('KNOWN-RED.txt')
  ? fs.readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
  : []
const knownRed = failed.filter(isKnown)
const broken = failed.filter(name => !isKnown(name))
const crashed = exitCode !== '0' && failed.length === 0

if (!isBrief && (broken.length > 0 || crashed)) console.log(text)
for (const name of knownRed) console.log(`known red: ${name}`)
for (const name of broken) console.log(`failed: ${name}\n${describe(name)}`)
if (crashed) console.log('failed: the test command ended badly')
console.log(`${passed.length} passed, ${broken.length + (crashed ? 1 : 0)} failed`)
process.exit(broken.length > 0 || crashed || passed.length === 0 ? 1 : 0)

// A TAP name is the file's path followed by the title; KNOWN-RED.txt lists only the title.
function isKnown (name) {
  return known.some(title => name === title || name.endsWith(` › ${title}`))
}

/** Returns the report of a failed test: what it logged and the indented lines behind its result. What is long is cut, so that the end of the output tells what failed. */
function describe (name) {
  const first = lines.findIndex(line => /^not ok \d+/.test(line) && nameOf(line) === name) + 1
  const count = lines.slice(first).findIndex(line => !/^[ #]/.test(line))
  return lines.slice(first, first + count).join('\n').slice(0, MAX_REPORT_CHARS)
}

function nameOf (line) {
  return line.replace(/^(not )?ok \d+ - /, '').trim()
}
