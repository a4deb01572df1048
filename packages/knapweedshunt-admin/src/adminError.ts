import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'

/** Fields of an {@link AdminError} beside its message. */
export interface AdminErrorOptions extends InstanceOptions {
  /** HTTP status; 500 by default. */
  status?: number
  /** Stable code, for example `revision_raced`. */
  code?: string
  /** Further fields of `error` in the response body. */
  details?: Record<string, unknown>
}

/** Error that is returned to an operator as an HTTP response; created by {@link createAdminError}. */
export const AdminError = ModernError.subclass('AdminError', {
  custom: class extends ModernError {
    readonly status: number
    readonly code: string
    readonly details: Record<string, unknown>

    constructor (message: string, options?: AdminErrorOptions) {
      super(message, options)
      this.status = options?.status ?? 500
      this.code = options?.code ?? 'internal'
      this.details = options?.details ?? {}
    }
  }
})

/** Instance of {@link AdminError}. */
export type AdminErrorInstance = InstanceType<typeof AdminError>

/** Creates an error with its HTTP status and stable code; `details` go into `error` of the response body. */
export function createAdminError (status: number, code: string, message: string, details: Record<string, unknown> = {}): AdminErrorInstance {
  return new AdminError(message, { status, code, details })
}
