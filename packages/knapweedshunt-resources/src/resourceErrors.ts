import ModernError from 'modern-errors'

/** Errors of declared resources. */
export const ResourceError = ModernError.subclass('ResourceError')

/** A resource is malformed or refers to something that is not there. */
export const ResourceInvalidError = ResourceError.subclass('ResourceInvalidError')

/** The platform did not answer; the change may or may not have been accepted. Ask again with the same change id. */
export const ResourceUnsettledError = ResourceError.subclass('ResourceUnsettledError')
