import type { OrderReply } from 'knapweedshunt-orders'

/** What the oracle knows of one order. */
interface Known {
  executions: number
  /** A caller was told that it did not run. */
  saidNotRun: boolean
  /** An attempt broke or was cut off, so that "may have run" can be the last word. */
  touched: boolean
}

/** Counts executions and checks every reply against them. */
export class OrderOracle {
  readonly violations: string[] = []
  readonly #orders = new Map<string, Known>()

  /** An endpoint ran the order. Returns the answer's body. */
  execute (order: string): string {
    const known = this.#open(order)
    known.executions++
    if (known.executions > 1) this.violations.push(`${order} ran ${known.executions} times`)
    if (known.saidNotRun) this.violations.push(`${order} ran after "not-run" was said`)
    return describeAnswer(order)
  }

  touch (order: string): void {
    this.#open(order).touched = true
  }

  isTouched (order: string): boolean {
    return this.#open(order).touched
  }

  /** A caller, or a status call, got the reply. */
  takeReply (order: string, reply: OrderReply): void {
    const known = this.#open(order)
    switch (reply.type) {
      case 'ran':
        if (known.executions !== 1) this.violations.push(`${order} is said to have run, and ran ${known.executions} times`)
        if (reply.answer !== null && reply.answer.body !== describeAnswer(order)) this.violations.push(`${order} got the answer ${reply.answer.body}`)
        return
      case 'not-run':
        if (known.executions !== 0) this.violations.push(`${order} ran, and "not-run" was said`)
        known.saidNotRun = true
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

  #open (order: string): Known {
    const known = this.#orders.get(order) ?? { executions: 0, saidNotRun: false, touched: false }
    this.#orders.set(order, known)
    return known
  }
}

function describeAnswer (order: string): string {
  return `answer of ${order}`
}
