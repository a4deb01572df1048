import ModernError from 'modern-errors'

/** An HTTP message could not be sent or read; base class of the errors below. */
export const HttpError = ModernError.subclass('HttpError')

/** The body exceeds the reader's size limit. */
export const BodyTooLargeError = HttpError.subclass('BodyTooLargeError')

/** The connection closed before the body was complete. */
export const BodyTruncatedError = HttpError.subclass('BodyTruncatedError')

/** The body is not valid JSON. */
export const BodyMalformedError = HttpError.subclass('BodyMalformedError')

/** The status of a response is not that of a final response. */
export const UnusableStatusError = HttpError.subclass('UnusableStatusError')

/** The connection of a body that only its end delimits was reset; `code` and `syscall` are those of a read that fails so. */
export const ConnectionResetError = HttpError.subclass('ConnectionResetError', { props: { code: 'ECONNRESET', syscall: 'read' } })
