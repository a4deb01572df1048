import ModernError from 'modern-errors'

/** Error that is answered to an operator, with its HTTP status. */
export class AdminError extends ModernError {
  readonly status: number
  readonly code: string
  readonly details: Record<string, unknown>

  constructor (status: number, code: string, message: string, details: Record<string, unknown> = {}) {
    super(message)
    this.status = status
    this.code = code
    this.details = details
  }
}
