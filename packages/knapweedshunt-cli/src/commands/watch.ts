import { createCommand } from 'knapweedshunt-settings'
import { sleep } from 'knapweedshunt-utils'
import { ADDRESS_SETTINGS, buildAdminAddress, buildSelection, SELECTION_SETTINGS } from '../addressSettings.ts'
import { listResources } from '../listResources.ts'
import { summariseItem } from '../summariseItem.ts'

const POLL_INTERVAL_MS = 500

/** `watch [KIND] [NAME]`: polls admin and prints a line for each resource whose summary changed, until stopped. */
export const watchCommand = createCommand({
  name: 'watch',
  description: 'Print each change of resources and of their status, until stopped',
  settings: { ...ADDRESS_SETTINGS, ...SELECTION_SETTINGS },
  async run (values, signal) {
    const { kind, name } = buildSelection(values)
    let previous = new Map<string, string>()
    while (!signal.aborted) {
      const items = await listResources(buildAdminAddress(values), kind, name)
      const current = new Map(items.map(item => [`${item.resource.kind}/${item.resource.name}`, JSON.stringify(summariseItem(item))]))
      printChanges(previous, current)
      previous = current
      await sleep(POLL_INTERVAL_MS, signal)
    }
  }
})

function printChanges (previous: Map<string, string>, current: Map<string, string>): void {
  for (const [key, line] of current) {
    if (previous.get(key) !== line) console.log(line)
  }
  for (const key of previous.keys()) {
    if (!current.has(key)) console.log(JSON.stringify({ deleted: key }))
  }
}
