import { createCommand } from 'knapweedshunt-settings'
import { sleep } from 'knapweedshunt-utils'
import { ADDRESS_SETTINGS, readAddress, readSelection, SELECTION_SETTINGS } from '../addressSettings.ts'
import { listResources } from '../listResources.ts'
import { describeItem } from '../describeItem.ts'

const POLL_MS = 500

/** `watch [KIND] [NAME]`: prints a line whenever a resource or its status changes, until stopped. */
export const watchCommand = createCommand({
  name: 'watch',
  description: 'Print each change of resources and of how far they are in force, until stopped',
  settings: { ...ADDRESS_SETTINGS, ...SELECTION_SETTINGS },
  async run (values, signal) {
    const { kind, name } = readSelection(values)
    let before = new Map<string, string>()
    while (!signal.aborted) {
      const items = await listResources(readAddress(values), kind, name)
      const present = new Map(items.map(item => [`${item.resource.kind}/${item.resource.name}`, JSON.stringify(describeItem(item))]))
      printChanges(before, present)
      before = present
      await sleep(POLL_MS, signal)
    }
  }
})

function printChanges (before: Map<string, string>, present: Map<string, string>): void {
  for (const [key, line] of present) {
    if (before.get(key) !== line) console.log(line)
  }
  for (const key of before.keys()) {
    if (!present.has(key)) console.log(JSON.stringify({ deleted: key }))
  }
}
