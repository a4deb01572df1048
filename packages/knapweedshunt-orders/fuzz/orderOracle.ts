import type { OrderReply } from 'knapweedshunt-orders'

/** Executions and replies observed for one order. */
interface OrderRecord {
  executions: number
  /** A caller received `not-run`. */
  reportedNotRun: boolean
  /** An attempt was interrupted, so that `may-have-run` is an acceptable final reply. */
  mayHaveRun: boolean
}

/** Counts the executions of each order and checks every reply against them. */
export class OrderOracle {
  readonly violations: string[] = []
  readonly #orders = new Map<string, OrderRecord>()

  /** Records that an endpoint ran the order. Returns the body of the answer. */
  recordExecution (order: string): string {
    const record = this.#open(order)
    record.executions++
    if (record.executions > 1) this.violations.push(`${order} ran ${record.executions} times`)
    if (record.reportedNotRun) this.violations.push(`${order} ran after the reply "not-run"`)
    return buildAnswerBody(order)
  }

  markMayHaveRun (order: string): void {
    this.#open(order).mayHaveRun = true
  }

  mayHaveRun (order: string): boolean {
    return this.#open(order).mayHaveRun
  }

  /** Checks a reply that a caller or a status call received. */
  checkReply (order: string, reply: OrderReply): void {
    const record = this.#open(order)
    switch (reply.type) {
      case 'ran':
        if (record.executions !== 1) this.violations.push(`${order} got the reply "ran", but ran ${record.executions} times`)
        if (reply.answer !== null && reply.answer.body !== buildAnswerBody(order)) this.violations.push(`${order} got the answer ${reply.answer.body}`)
        return
      case 'not-run':
        if (record.executions !== 0) this.violations.push(`${order} got the reply "not-run", but ran`)
        record.reportedNotRun = true
        return
      case 'mismatch':
      case 'ticket-invalid':
        this.violations.push(`${order} got ${reply.type}`)
        break
      case 'may-have-run':
      case 'in-progress':
      case 'unreadable':
      case 'expired':
      case 'unknown':
    }
  }

  #open (order: string): OrderRecord {
    const record = this.#orders.get(order) ?? { executions: 0, reportedNotRun: false, mayHaveRun: false }
    this.#orders.set(order, record)
    return record
  }
}

function buildAnswerBody (order: string): string {
  return `answer of ${order}`
}
