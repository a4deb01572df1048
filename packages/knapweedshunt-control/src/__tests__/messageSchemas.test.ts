import test from 'ava'
import { exchangeSchema } from '../messageSchemas.ts'

test('an exchange keeps the software version of an endpoint', t => {
  const boots = [{ i: 0, incarnation: 'e-1', weightsVersion: 'w1', softwareVersion: 'v1' }]
  const from = { vm: 'vm-1', dataCentre: 'dc-1', url: 'http://127.0.0.1:1' }
  t.deepEqual(exchangeSchema.parse({ from, revision: 1, own: { k: 'a', v: 1, e: { boots } } }).own?.e?.boots, boots)
})
