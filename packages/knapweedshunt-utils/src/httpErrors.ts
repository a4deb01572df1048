import ModernError from 'modern-errors'

/** Errors of reading or sending HTTP messages. */
export const HttpError = ModernError.subclass('HttpError')

/** The body is larger than the limit. */
export const BodyTooLargeError = HttpError.subclass('BodyTooLargeError')

/** The peer closed before the body was whole. */
export const BodyUnfinishedError = HttpError.subclass('BodyUnfinishedError')

/** The body is not valid JSON. */
export const BodyMalformedError = HttpError.subclass('BodyMalformedError')
