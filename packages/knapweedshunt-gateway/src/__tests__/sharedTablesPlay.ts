import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import { ENDPOINT_TABLE, SimulatedTables, startReaders } from './sharedTablesSimulation.ts'
import type { SimulatedReader } from './sharedTablesSimulation.ts'

/** VMs that follow the tables on a faked clock. */
export interface Play { clock: Clock, tables: SimulatedTables, vms: SimulatedReader[] }

/** Starts VMs, evenly over the data centres, and plays once they have settled. */
export async function runPlay (count: number, dataCentres: number, play: (context: Play) => Promise<void>): Promise<void> {
  const clock = install()
  const tables = new SimulatedTables()
  tables.put(ENDPOINT_TABLE, 'first', 1)
  const vms = startReaders(tables, count, dataCentres)
  try {
    await clock.tickAsync(8_000)
    await play({ clock, tables, vms })
  } finally {
    for (const vm of vms) vm.stop()
    await clock.tickAsync(5_000)
    clock.uninstall()
  }
}

/** Measures the calls to the store of a VM in a second. */
export async function measureCallsPerS ({ clock, tables, vms }: Play, seconds: number): Promise<number> {
  const before = tables.calls
  await clock.tickAsync(seconds * 1_000)
  return (tables.calls - before) / seconds / vms.length
}
