import ModernError from 'modern-errors'

/** What an operator is answered beside the message. */
interface AdminErrorProps {
  /** HTTP status. */
  status: number
  /** Stable code, for example `revision_raced`. */
  code: string
  details: Record<string, unknown>
}

/** Error that is answered to an operator. Made by {@link createAdminError}. */
export const AdminError = ModernError.subclass('AdminError', { props: { status: 500, code: 'internal', details: {} } as AdminErrorProps })

/** An instance of {@link AdminError}. */
export type AdminErrorInstance = ReturnType<typeof createAdminError>

/** Creates an error with its HTTP status. */
export function createAdminError (status: number, code: string, message: string, details: Record<string, unknown> = {}) {
  const props: AdminErrorProps = { status, code, details }
  return new AdminError(message, { props })
}
