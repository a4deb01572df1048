import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'

/** What an {@link AdminError} carries beside its message. */
export interface AdminErrorOptions extends InstanceOptions {
  /** HTTP status. */
  status?: number
  /** Stable code, for example `revision_raced`. */
  code?: string
  /** Further fields of the answer's `error`. */
  details?: Record<string, unknown>
}

/** Error that is answered to an operator; made by {@link createAdminError}. */
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

/** Creates the error with HTTP status and stable code. */
export function createAdminError (status: number, code: string, message: string, details: Record<string, unknown> = {}): AdminErrorInstance {
  return new AdminError(message, { status, code, details })
}
