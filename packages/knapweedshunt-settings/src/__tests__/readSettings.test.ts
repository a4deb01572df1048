import test from 'ava'
import { z } from 'zod'
import { readSettings } from '../readSettings.ts'
import { SettingsError } from '../settingsError.ts'

const TABLE = {
  peerPort: { schema: z.coerce.number().int().min(0).max(65_535), describe: 'a port from 0 to 65535', fallback: '8081' },
  dataCentre: { schema: z.string().min(1), describe: 'a data centre' },
  peerKey: { schema: z.string().min(16), describe: 'a long key', secret: true, fallback: 'x'.repeat(16) }
}

test('a flag overrides the environment, the environment overrides the default', t => {
  const env = { KNAPWEEDSHUNT_PEER_PORT: '2', KNAPWEEDSHUNT_DATA_CENTRE: 'dc-env' }
  t.is(readSettings(TABLE, { 'peer-port': '1' }, env).peerPort, 1)
  t.is(readSettings(TABLE, {}, env).peerPort, 2)
  t.is(readSettings(TABLE, {}, { KNAPWEEDSHUNT_DATA_CENTRE: 'dc' }).peerPort, 8081)
})

const WRONG: Array<{ name: string, flags: Record<string, string>, shows: RegExp, hides?: RegExp }> = [
  { name: 'missing', flags: {}, shows: /--data-centre is missing: give the flag or set KNAPWEEDSHUNT_DATA_CENTRE/ },
  { name: 'not a number', flags: { 'data-centre': 'a', 'peer-port': 'many' }, shows: /--peer-port .* is "many".*Give a port from 0 to 65535/ },
  { name: 'out of range', flags: { 'data-centre': 'a', 'peer-port': '70000' }, shows: /--peer-port .* is "70000"/ },
  { name: 'unknown flag', flags: { 'data-centre': 'a', 'data-center': 'b' }, shows: /--data-center is not a setting/ },
  { name: 'secret hidden', flags: { 'data-centre': 'a', 'peer-key': 'tiny' }, shows: /--peer-key .* is \(hidden\)/, hides: /tiny/ }
]

for (const { name, flags, shows, hides } of WRONG) {
  test(name, t => {
    const error = t.throws(() => readSettings(TABLE, flags, {}), { instanceOf: SettingsError })
    t.regex(error.message, shows)
    if (hides) t.notRegex(error.message, hides)
  })
}
