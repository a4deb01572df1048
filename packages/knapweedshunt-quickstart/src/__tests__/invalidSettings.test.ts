import test from 'ava'
import { ADMIN_SETTINGS } from 'knapweedshunt-admin'
import { CONTROL_SETTINGS } from 'knapweedshunt-control'
import { FAKES_SETTINGS } from 'knapweedshunt-fakes'
import { LOAD_SETTINGS } from 'knapweedshunt-load'
import { ROUTER_SETTINGS } from 'knapweedshunt-router'
import { readSettings, SettingsError } from 'knapweedshunt-settings'
import type { SettingTable } from 'knapweedshunt-settings'

const PEER_KEY = 'a-key-shared-by-processes'
const BASE_URL = 'http://127.0.0.1:7000'
const VALID_ROUTER_FLAGS = { vm: 'vm-1', 'data-centre': 'dc-1', 'platform-url': BASE_URL, 'peer-key': PEER_KEY }
const VALID_CONTROL_FLAGS = { ...VALID_ROUTER_FLAGS, 'router-url': BASE_URL }
const VALID_ADMIN_FLAGS = { 'platform-url': BASE_URL, 'peer-key': PEER_KEY, 'router-url': BASE_URL, 'control-url': BASE_URL, 'operator-keys': `${'0'.repeat(64)}:editor` }

const INVALID_VALUES: Array<[program: string, table: SettingTable, validFlags: Record<string, string>, flag: string, value: string, expectedHint: RegExp]> = [
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'vm', '', /this VM's name/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'data-centre', '', /this VM's data centre/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'platform-url', 'nowhere', /the platform's base URL/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'platform-url', 'ftp://10.0.0.1', /the platform's base URL/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'caller-host', 'localhost', /the IPv4 number/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'caller-port', '70000', /a port from 0 to 65535/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'peer-port', 'many', /a port from 0 to 65535/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'max-body-bytes', '0', /the longest request body in bytes/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'endpoint-window', '1.5', /the most requests in flight/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'prefill-tokens-per-s', '-1', /prompt tokens per second/],
  ['router', ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'statsd-host', 'stats', /IPv4 number of a StatsD server/],
  ['control', CONTROL_SETTINGS, VALID_CONTROL_FLAGS, 'router-url', ':8081', /the base URL of the local router/],
  ['control', CONTROL_SETTINGS, VALID_CONTROL_FLAGS, 'exchange-interval-ms', '1', /milliseconds/],
  ['control', CONTROL_SETTINGS, VALID_CONTROL_FLAGS, 'control-port', '-1', /a port from 0 to 65535/],
  ['admin', ADMIN_SETTINGS, VALID_ADMIN_FLAGS, 'admin-host', '10.0.0.300', /IPv4 number/],
  ['admin', ADMIN_SETTINGS, VALID_ADMIN_FLAGS, 'control-url', 'control', /the base URL of the local control/],
  ['load', LOAD_SETTINGS, {}, 'preset', 'other', /one of lindqvist, steppe-panel/],
  ['load', LOAD_SETTINGS, {}, 'rate', '0', /mean requests per second/],
  ['load', LOAD_SETTINGS, {}, 'router-urls', 'http://127.0.0.1:1,x', /parted by commas/],
  ['fakes', FAKES_SETTINGS, { role: 'engine' }, 'role', 'router', /platform, engine or service/]
]

for (const [program, table, validFlags, flag, value, expectedHint] of INVALID_VALUES) {
  test(`${program} rejects --${flag} "${value}" with a hint`, t => {
    t.notThrows(() => readSettings(table, validFlags, {}))
    const error = t.throws(() => readSettings(table, { ...validFlags, [flag]: value }, {}), { instanceOf: SettingsError })
    t.true(error.message.startsWith(`--${flag} (`), error.message)
    t.true(error.message.includes(`"${value}"`), error.message)
    t.regex(error.message, expectedHint)
  })
}

const INVALID_SECRETS: Array<[table: SettingTable, validFlags: Record<string, string>, flag: string, value: string]> = [
  [ROUTER_SETTINGS, VALID_ROUTER_FLAGS, 'peer-key', 'tooshortkey'],
  [ADMIN_SETTINGS, VALID_ADMIN_FLAGS, 'operator-keys', 'plain-key:editor']
]

for (const [table, validFlags, flag, value] of INVALID_SECRETS) {
  test(`the error for --${flag} does not show the secret value`, t => {
    const error = t.throws(() => readSettings(table, { ...validFlags, [flag]: value }, {}), { instanceOf: SettingsError })
    t.regex(error.message, new RegExp(`^--${flag} .* is \\(hidden\\)`))
    t.false(error.message.includes(value))
  })
}
