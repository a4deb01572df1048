import ModernError from 'modern-errors'

/** Base class of the errors about declared resources. */
export const ResourceError = ModernError.subclass('ResourceError')

/** A resource or change is malformed, or refers to a resource that does not exist. */
export const ResourceInvalidError = ResourceError.subclass('ResourceInvalidError')

/** The platform did not answer, or the resources changed during every attempt to read them. A change may or may not have been accepted: retry with the same change id. */
export const ResourceUnsettledError = ResourceError.subclass('ResourceUnsettledError')
