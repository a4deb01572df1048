import { quarantineLiftSchema } from 'knapweedshunt-attempts'
import type { QuarantineLift, QuarantineTarget } from 'knapweedshunt-attempts'
import type { Row } from 'knapweedshunt-platform'
import type { z } from 'zod'
import { crashRowSchema, partRowSchema, ROSTER_KEY } from '../directory/rosterRows.ts'
import type { QuarantineView } from './quarantineView.ts'

interface VmRowOf<T> { vm: string, row: T }

/** Lists the quarantines in force at any VM, oldest first, from the rows of the roster. Unreadable rows are left out. */
export function listQuarantines (rows: readonly Row[], nowMs: number): QuarantineView[] {
  const lifts = listRows(rows, ROSTER_KEY.lift, quarantineLiftSchema).map(({ row }) => row)
  const views = [...listRequests(rows), ...listParts(rows)].filter(({ untilMs }) => untilMs > nowMs)
  return views.map(view => ({ ...view, lift: findLift(lifts, view) })).sort((a, b) => a.sinceMs - b.sinceMs)
}

/** Whether the quarantine refuses what the target names. */
export function isTarget ({ type, names }: QuarantineView, target: QuarantineTarget): boolean {
  if (target.type !== type) return false
  return target.type === 'request' ? names[0].startsWith(target.fingerprint) : names.includes(target.part)
}

/** Whether the rows have the lift. */
export function hasLift (rows: readonly Row[], { id }: QuarantineLift): boolean {
  return listRows(rows, ROSTER_KEY.lift, quarantineLiftSchema).some(({ row }) => row.id === id)
}

function listRequests (rows: readonly Row[]): QuarantineView[] {
  const marks = listRows(rows, ROSTER_KEY.crash, crashRowSchema).flatMap(({ vm, row }) => row.marks.map(numbered => ({ ...numbered, vm })))
  const views = marks.flatMap(({ vm, atMs, mark }): QuarantineView[] => mark.type !== 'quarantined'
    ? []
    : [{
        type: 'request',
        names: [mark.fingerprint],
        sinceMs: atMs,
        untilMs: atMs + mark.forMs,
        crashes: mark.crashCount ?? 0,
        lostShare: null,
        endpoints: [...mark.endpoints ?? [], ...marks.flatMap(other => other.mark.type === 'crashed' && other.mark.fingerprint === mark.fingerprint ? other.mark.crashes.map(crash => crash.endpoint) : [])],
        vms: [vm],
        lift: null
      }])
  return joinBy(views, ({ names }) => names[0])
}

function listParts (rows: readonly Row[]): QuarantineView[] {
  const evidence = listRows(rows, ROSTER_KEY.part, partRowSchema)
  const reports = evidence.flatMap(({ row }) => row.evidence.reports)
  const views = evidence.flatMap(({ vm, row }) => row.evidence.quarantines.map(({ id, parts, crashCount, lostShare, firstCrashAgeMs, forMs }): QuarantineView & { id: string } => ({
    id,
    type: 'part',
    names: parts,
    sinceMs: row.atMs - firstCrashAgeMs,
    untilMs: row.atMs + forMs,
    crashes: crashCount,
    lostShare,
    endpoints: reports.filter(({ lostShares }) => parts.every(part => part in lostShares)).map(({ endpoint }) => endpoint),
    vms: [vm],
    lift: null
  })))
  return joinBy(views, ({ id }) => id).map(({ id, ...view }) => view)
}

/** Joins what several VMs say of the same quarantine. */
function joinBy<T extends QuarantineView> (views: T[], getKey: (view: T) => string): T[] {
  const joined = new Map<string, T>()
  for (const view of views) {
    const known = joined.get(getKey(view))
    const endpoints = [...new Set([...known?.endpoints ?? [], ...view.endpoints])]
    const vms = [...new Set([...known?.vms ?? [], ...view.vms])]
    joined.set(getKey(view), { ...view, endpoints, vms, sinceMs: Math.min(view.sinceMs, known?.sinceMs ?? Infinity), untilMs: Math.max(view.untilMs, known?.untilMs ?? 0), crashes: Math.max(view.crashes, known?.crashes ?? 0) })
  }
  return [...joined.values()]
}

function findLift (lifts: QuarantineLift[], view: QuarantineView): QuarantineLift | null {
  return lifts.filter(({ target, atMs }) => isTarget(view, target) && atMs >= view.sinceMs).sort((a, b) => b.atMs - a.atMs)[0] ?? null
}

function listRows<T> (rows: readonly Row[], prefix: string, schema: z.ZodType<T>): Array<VmRowOf<T>> {
  return rows.filter(({ key }) => key.startsWith(prefix)).flatMap(({ key, value }) => {
    const result = schema.safeParse(value)
    return result.success ? [{ vm: key.slice(prefix.length), row: result.data }] : []
  })
}
