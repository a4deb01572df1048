import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { CLOSED_LEDGERS_TABLE } from '../handoverManager.ts'
import { DEFAULT_ORDER_OPTIONS } from '../orderOptions.ts'
import { CLAIMS_TABLE, OUTCOMES_TABLE } from '../tableLedger.ts'
import { TableSweeper } from '../tableSweeper.ts'

const ODD: Array<[string, unknown]> = [['nothing', undefined], ['null', null], ['text', 'x'], ['number', 7], ['list', []], ['time as text', { claimedAtMs: '1', recordedAtMs: '1', closedAtMs: '1' }], ['nested', JSON.parse('['.repeat(50) + ']'.repeat(50))]]

for (const [name, value] of ODD) {
  // Guards against a router that ends because of a row that another writer has left in a table of orders.
  test(`a row that cannot be read is kept, and expired ones are deleted: ${name}`, async t => {
    const platform = new MemoryPlatform()
    const expired = { claimedAtMs: 0, recordedAtMs: 0, closedAtMs: 0 }
    for (const table of [CLAIMS_TABLE, OUTCOMES_TABLE, CLOSED_LEDGERS_TABLE]) {
      const rows: Array<[string, unknown]> = [['a', expired], ['b', value], ['c', expired]]
      await platform.transact({ checks: [], writes: rows.map(([key, value]) => ({ type: 'put', table, key, value })) })
    }
    await t.notThrowsAsync(new TableSweeper(platform, DEFAULT_ORDER_OPTIONS).sweepPage())
    for (const table of [CLAIMS_TABLE, OUTCOMES_TABLE, CLOSED_LEDGERS_TABLE]) {
      t.deepEqual((await platform.scan({ table, limit: 10 })).map(row => row.key), ['b'])
    }
  })
}
