/** Measures what the VMs ask of the store to keep the software versions of streams, by number of VMs; writes docs/figures/streamRows.json. */
import { writeFileSync } from 'node:fs'
import { measureStreamRows } from '../src/__tests__/streamRowsLoad.ts'

const LOADS = [
  { vms: 8, dataCentres: 3, streamsPerS: 140, durationS: 40 },
  { vms: 100, dataCentres: 15, streamsPerS: 3_250, durationS: 40 },
  { vms: 400, dataCentres: 15, streamsPerS: 13_000, durationS: 40 }
]

const rows = []
for (const load of LOADS) rows.push(await measureStreamRows(load))
console.table(rows)
writeFileSync('docs/figures/streamRows.json', JSON.stringify({ rows }, null, 2) + '\n')
