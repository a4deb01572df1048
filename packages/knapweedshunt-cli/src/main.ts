#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import { applyResources } from './applyResources.ts'
import { callAdmin } from './adminClient.ts'
import { isInForce, listResources } from './listResources.ts'
import { readResourceFiles } from './readResourceFiles.ts'
import { waitInForce } from './waitInForce.ts'

const DEFAULT_WAIT_MS = '30000'
const addressArgs = {
  'admin-url': { type: 'string', description: 'Admin\'s base URL [KNAPWEEDSHUNT_ADMIN_URL]' },
  'operator-key': { type: 'string', description: 'Operator key [KNAPWEEDSHUNT_OPERATOR_KEY]' }
} as const

function readAddress (args: { 'admin-url'?: string, 'operator-key'?: string }) {
  return {
    url: args['admin-url'] ?? process.env.KNAPWEEDSHUNT_ADMIN_URL ?? 'http://127.0.0.1:8083',
    operatorKey: args['operator-key'] ?? process.env.KNAPWEEDSHUNT_OPERATOR_KEY ?? ''
  }
}

const apply = defineCommand({
  meta: { name: 'apply', description: 'Apply the resources of a file as one change' },
  args: { ...addressArgs, file: { type: 'string', alias: 'f', required: true, description: 'YAML or JSON file' } },
  async run ({ args }) {
    const revision = await applyResources(readAddress(args), await readResourceFiles([args.file]))
    console.log(`Accepted as revision ${revision}.`)
  }
})

const get = defineCommand({
  meta: { name: 'get', description: 'List resources' },
  args: { ...addressArgs, kind: { type: 'positional', required: false }, name: { type: 'positional', required: false } },
  async run ({ args }) {
    const items = await listResources(readAddress(args), args.kind ?? null, args.name ?? null)
    console.table(items.map(item => ({ kind: item.resource.kind, name: item.resource.name, revision: item.resource.revision, inForce: isInForce(item) })))
  }
})

const wait = defineCommand({
  meta: { name: 'wait', description: 'Wait until resources are in force' },
  args: { ...addressArgs, kind: { type: 'positional', required: false }, name: { type: 'positional', required: false }, timeout: { type: 'string', default: DEFAULT_WAIT_MS, description: 'Milliseconds' } },
  async run ({ args }) {
    await waitInForce(readAddress(args), args.kind ?? null, args.name ?? null, Number(args.timeout))
    console.log('In force.')
  }
})

const top = defineCommand({
  meta: { name: 'top', description: 'Show a router\'s present figures' },
  args: addressArgs,
  async run ({ args }) {
    const answer = await callAdmin(readAddress(args), 'GET', '/v1/figures') as { rows: object[] }
    console.table(answer.rows)
  }
})

await runMain(defineCommand({
  meta: { name: 'knapweedshuntctl', description: 'Operators\' command line of knapweedshunt' },
  subCommands: { apply, get, wait, top }
}))
