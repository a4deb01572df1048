import test from 'ava'
import { ADMIN_SETTINGS } from 'knapweedshunt-admin'
import { CONTROL_SETTINGS } from 'knapweedshunt-control'
import { FAKES_SETTINGS } from 'knapweedshunt-fakes'
import { LOAD_SETTINGS } from 'knapweedshunt-load'
import { ROUTER_SETTINGS } from 'knapweedshunt-router'
import { readSettings, SettingsError } from 'knapweedshunt-settings'
import type { SettingTable } from 'knapweedshunt-settings'

const KEY = 'a-key-shared-by-processes'
const URL = 'http://127.0.0.1:7000'
const ROUTER = { vm: 'vm-1', 'data-centre': 'dc-1', 'platform-url': URL, 'peer-key': KEY }
const CONTROL = { ...ROUTER, 'router-url': URL }
const ADMIN = { 'platform-url': URL, 'peer-key': KEY, 'router-url': URL, 'control-url': URL, 'operator-keys': `${'0'.repeat(64)}:editor` }

const BAD: Array<[program: string, table: SettingTable, good: Record<string, string>, flag: string, value: string, mend: RegExp]> = [
  ['router', ROUTER_SETTINGS, ROUTER, 'vm', '', /this VM's name/],
  ['router', ROUTER_SETTINGS, ROUTER, 'data-centre', '', /this VM's data centre/],
  ['router', ROUTER_SETTINGS, ROUTER, 'platform-url', 'nowhere', /the platform's base URL/],
  ['router', ROUTER_SETTINGS, ROUTER, 'platform-url', 'ftp://10.0.0.1', /the platform's base URL/],
  ['router', ROUTER_SETTINGS, ROUTER, 'caller-host', 'localhost', /the IPv4 number/],
  ['router', ROUTER_SETTINGS, ROUTER, 'caller-port', '70000', /a port from 0 to 65535/],
  ['router', ROUTER_SETTINGS, ROUTER, 'peer-port', 'many', /a port from 0 to 65535/],
  ['router', ROUTER_SETTINGS, ROUTER, 'max-body-bytes', '0', /the longest request body in bytes/],
  ['router', ROUTER_SETTINGS, ROUTER, 'endpoint-window', '1.5', /the most requests in flight/],
  ['router', ROUTER_SETTINGS, ROUTER, 'prefill-tokens-per-s', '-1', /prompt tokens per second/],
  ['router', ROUTER_SETTINGS, ROUTER, 'statsd-host', 'stats', /IPv4 number of a StatsD server/],
  ['control', CONTROL_SETTINGS, CONTROL, 'router-url', ':8081', /the base URL of the local router/],
  ['control', CONTROL_SETTINGS, CONTROL, 'exchange-interval-ms', '1', /milliseconds/],
  ['control', CONTROL_SETTINGS, CONTROL, 'control-port', '-1', /a port from 0 to 65535/],
  ['admin', ADMIN_SETTINGS, ADMIN, 'admin-host', '10.0.0.300', /IPv4 number/],
  ['admin', ADMIN_SETTINGS, ADMIN, 'control-url', 'control', /the base URL of the local control/],
  ['load', LOAD_SETTINGS, {}, 'preset', 'other', /one of lindqvist, steppe-panel/],
  ['load', LOAD_SETTINGS, {}, 'rate', '0', /mean requests per second/],
  ['load', LOAD_SETTINGS, {}, 'router-urls', 'http://127.0.0.1:1,x', /parted by commas/],
  ['fakes', FAKES_SETTINGS, { role: 'engine' }, 'role', 'router', /platform, engine or service/]
]

for (const [program, table, good, flag, value, mend] of BAD) {
  test(`${program} --${flag} "${value}"`, t => {
    t.notThrows(() => readSettings(table, good, {}))
    const error = t.throws(() => readSettings(table, { ...good, [flag]: value }, {}), { instanceOf: SettingsError })
    t.true(error.message.startsWith(`--${flag} (`), error.message)
    t.true(error.message.includes(`"${value}"`), error.message)
    t.regex(error.message, mend)
  })
}

const SECRETS: Array<[table: SettingTable, good: Record<string, string>, flag: string, value: string]> = [
  [ROUTER_SETTINGS, ROUTER, 'peer-key', 'tooshortkey'],
  [ADMIN_SETTINGS, ADMIN, 'operator-keys', 'plain-key:editor']
]

for (const [table, good, flag, value] of SECRETS) {
  test(`--${flag} is not shown`, t => {
    const error = t.throws(() => readSettings(table, { ...good, [flag]: value }, {}), { instanceOf: SettingsError })
    t.regex(error.message, new RegExp(`^--${flag} .* is \\(hidden\\)`))
    t.false(error.message.includes(value))
  })
}
