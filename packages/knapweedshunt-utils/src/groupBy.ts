/** Groups items by key. Groups are in order of their first item; items keep their order within a group. */
export function groupBy<T, K> (items: Iterable<T>, key: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>()
  for (const item of items) {
    const members = groups.get(key(item))
    if (members) members.push(item)
    else groups.set(key(item), [item])
  }
  return groups
}
