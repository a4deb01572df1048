import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { ResourceStore } from 'knapweedshunt-resources'
import type { Resource } from 'knapweedshunt-types'
import { readPlatform } from '../readPlatform.ts'

const TABLE = 'resources'

function buildOrganisation (name: string, weight = 1): Resource {
  return { kind: 'Organisation', name, revision: 0, spec: { weight } }
}

async function put (platform: MemoryPlatform, key: string, value: unknown): Promise<void> {
  await platform.transact({ checks: [], writes: [{ type: 'put', table: TABLE, key, value }] })
}

/** Builds a platform with three accepted changes. */
async function buildPlatform (): Promise<{ platform: MemoryPlatform, store: ResourceStore }> {
  const platform = new MemoryPlatform()
  const store = new ResourceStore(platform)
  for (const name of ['one', 'two', 'three']) await store.change({ changeId: `id-${name}`, ops: [{ type: 'put', resource: buildOrganisation(name) }], expectedRevision: null })
  return { platform, store }
}

const VALUES: Array<[string, unknown]> = [
  ['nothing', undefined], ['null', null], ['text', 'x'], ['number', 7], ['list', []], ['no fields', {}], ['revision as text', { revision: '3' }], ['revision 1e300', { revision: 1e300 }], ['nested', JSON.parse('['.repeat(50) + ']'.repeat(50))],
  ['prototype key', JSON.parse('{"__proto__":{"revision":9}}')]
]
const KEYS = ['row/Organisation/odd', 'row/odd', 'change/odd', 'change/000000000004', 'change/999999999999', 'change-id/odd']

for (const [name, value] of VALUES) {
  for (const key of KEYS) {
    // Guards against control processes that do not get ready, or do not learn of changes, because of one row that another writer has left.
    test(`an odd row ${key} affects no resource: ${name}`, async t => {
      const { platform, store } = await buildPlatform()
      await put(platform, key, value)
      for (const after of [0, 1, 2]) {
        const read = await readPlatform(platform, store, after, false)
        t.is(read.revision, 3)
        if (read.snapshot !== null) t.deepEqual(read.snapshot.resources.map(resource => resource.name).sort(), ['one', 'three', 'two'])
      }
      const result = await store.change({ changeId: 'id-four', ops: [{ type: 'put', resource: buildOrganisation('four') }], expectedRevision: null })
      t.deepEqual(result, { type: 'accepted', revision: 4 })
      t.is((await store.readSnapshot()).resources.length, 4)
      await t.notThrowsAsync(store.compact())
    })
  }

  // Guards against resources that no process can read or change because another writer replaced the newest revision.
  test(`the newest revision is found although its row is odd: ${name}`, async t => {
    const { platform, store } = await buildPlatform()
    await put(platform, 'head', value)
    t.is(await store.readHead(), 3)
    t.is((await store.readSnapshot()).revision, 3)
    t.deepEqual(await store.change({ changeId: 'id-four', ops: [{ type: 'put', resource: buildOrganisation('four') }], expectedRevision: 3 }), { type: 'accepted', revision: 4 })
    t.deepEqual((await platform.read(TABLE, 'head'))?.value, { revision: 4 })
  })

  test(`a change whose row became odd is read from the resources: ${name}`, async t => {
    const { platform, store } = await buildPlatform()
    await put(platform, 'change/000000000002', value)
    const read = await readPlatform(platform, store, 1, false)
    t.is(read.snapshot?.revision, 3)
    t.is(read.snapshot?.resources.length, 3)
  })
}

test('a resource with an odd specification, or under another key, is left out', async t => {
  const { platform, store } = await buildPlatform()
  await put(platform, 'row/Organisation/four', { ...buildOrganisation('four'), spec: { weight: 'heavy' } })
  await put(platform, 'row/Endpoint/five', { kind: 'Endpoint', name: 'five', revision: 3, spec: { pool: 'p', url: 'http://10.0.0.1:99999', dataCentre: 'z' } })
  await put(platform, 'row/Organisation/six', buildOrganisation('one', 9))
  t.deepEqual((await store.readSnapshot()).resources.map(resource => [resource.name, resource.spec]), [['one', { weight: 1 }], ['three', { weight: 1 }], ['two', { weight: 1 }]])
})
