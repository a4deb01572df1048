import type { AttemptId, EndpointName } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { AttemptAction, AttemptEvent, FailureCode, Usage } from './attemptTypes.ts'

/** Options of one request. */
export interface AttemptOptions {
  requestId: string
  /** Whether the request may be sent again after a byte of it was sent. */
  repeatable: boolean
  /** First token the caller wants. */
  resumeFrom: number
  maxAttempts: number
}

/** Attempts of one request on successive endpoints. Opens nothing; one action list per event. */
export class AttemptMachine {
  readonly #options: AttemptOptions
  readonly #excluded: EndpointName[] = []
  #present: AttemptId | null = null
  #attempts = 0
  #sent = false
  #next: number
  #usage: Usage | null = null
  #over = false

  constructor (options: AttemptOptions) {
    this.#options = options
    this.#next = options.resumeFrom
  }

  /** First action. */
  start (): AttemptAction[] {
    return this.#placeNext()
  }

  /** Takes an event; events of superseded attempts are dropped. */
  take (event: AttemptEvent): AttemptAction[] {
    if (this.#over) return []
    if ('attempt' in event && event.attempt !== this.#present) return []
    return match(event)
      .with({ type: 'placed' }, ({ endpoint }) => {
        this.#excluded.push(endpoint)
        return []
      })
      .with({ type: 'unplaceable' }, () => this.#fail('no_endpoint'))
      .with({ type: 'refused' }, () => this.#placeNext())
      .with({ type: 'head' }, () => {
        this.#sent = true
        return []
      })
      .with({ type: 'token' }, ({ n, text }) => this.#deliver(n, text))
      .with({ type: 'usage' }, ({ usage }) => {
        this.#usage = usage
        return []
      })
      .with({ type: 'answer' }, ({ answer }) => this.#close([{ type: 'deliverAnswer', answer }, { type: 'finish', usage: null }]))
      .with({ type: 'end' }, () => this.#close([{ type: 'finish', usage: this.#usage }]))
      .with({ type: 'broken' }, () => this.#retryBroken())
      .with({ type: 'callerGone' }, () => this.#close(this.#cancelPresent()))
      .with({ type: 'deadline' }, () => [...this.#cancelPresent(), ...this.#fail('deadline_exceeded')])
      .exhaustive()
  }

  #deliver (n: number, text: string): AttemptAction[] {
    if (n < this.#next) return []
    if (n > this.#next) return [...this.#cancelPresent(), ...this.#retryBroken()]
    this.#next++
    return [{ type: 'deliver', n, text }]
  }

  #retryBroken (): AttemptAction[] {
    this.#sent = true
    return this.#options.repeatable ? this.#placeNext() : this.#fail('endpoint_failed')
  }

  #placeNext (): AttemptAction[] {
    if (this.#attempts >= this.#options.maxAttempts) return this.#fail('endpoint_failed')
    this.#attempts++
    this.#present = `${this.#options.requestId}-${this.#attempts}`
    return [{ type: 'place', attempt: this.#present, excluded: [...this.#excluded], resumeFrom: this.#next }]
  }

  #cancelPresent (): AttemptAction[] {
    return this.#present === null ? [] : [{ type: 'cancel', attempt: this.#present }]
  }

  #fail (code: FailureCode): AttemptAction[] {
    return this.#close([{ type: 'fail', code, ran: this.#sent ? 'may-have-run' : 'not-run' }])
  }

  #close (actions: AttemptAction[]): AttemptAction[] {
    this.#over = true
    return actions
  }
}
