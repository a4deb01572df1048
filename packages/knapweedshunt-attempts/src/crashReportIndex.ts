import type { CrashReport } from './crashReport.ts'

/** Crash reports by id and by suspect part. A report without suspect parts is dropped. */
export class CrashReportIndex {
  readonly #maxReports: number
  readonly #reports = new Map<string, CrashReport>()
  readonly #byPart = new Map<string, Set<CrashReport>>()

  constructor (maxReports: number) {
    this.#maxReports = maxReports
  }

  /** Whether a report with this id is held. */
  has (id: string): boolean {
    return this.#reports.has(id)
  }

  /** Lists all reports, oldest first. */
  list (): CrashReport[] {
    return [...this.#reports.values()]
  }

  /** Lists this VM's own reports, oldest first. */
  listOwn (): CrashReport[] {
    return [...this.#reports.values()].filter(report => report.isOwn)
  }

  /** Lists the reports in which a part is suspect. */
  listByPart (part: string): CrashReport[] {
    return [...this.#byPart.get(part) ?? []]
  }

  /** Adds a report; the oldest one is evicted beyond the limit. */
  add (report: CrashReport): void {
    if (report.suspectParts.size === 0) return
    this.#reports.set(report.id, report)
    for (const part of report.suspectParts.keys()) {
      const reports = this.#byPart.get(part) ?? new Set()
      this.#byPart.set(part, reports.add(report))
    }
    const [oldest] = this.#reports.values()
    if (this.#reports.size > this.#maxReports) this.#remove(oldest)
  }

  /** Removes a part from the suspects of a report; ignores an unknown id. */
  clearPart (id: string, part: string): void {
    const report = this.#reports.get(id)
    if (report?.suspectParts.delete(part) !== true) return
    const reports = this.#byPart.get(part)
    reports?.delete(report)
    if (reports?.size === 0) this.#byPart.delete(part)
    if (report.suspectParts.size === 0) this.#reports.delete(id)
  }

  /** Removes the parts that the VM which made the report no longer suspects; ignores an unknown id. */
  retainParts (id: string, parts: ReadonlySet<string>): void {
    for (const part of this.#reports.get(id)?.suspectParts.keys() ?? []) if (!parts.has(part)) this.clearPart(id, part)
  }

  /** Removes the reports of crashes before a time. */
  removeBefore (crashedAtMs: number): void {
    for (const report of this.#reports.values()) if (report.crashedAtMs < crashedAtMs) this.#remove(report)
  }

  #remove (report: CrashReport): void {
    for (const part of report.suspectParts.keys()) this.clearPart(report.id, part)
  }
}
