/** Errors of a schema, as zod reports them. */
interface SchemaError {
  issues: Array<{ path: PropertyKey[], message: string }>
}

/** Describes the first field that does not match a schema, and why. */
export function describeFirstIssue ({ issues: [issue] }: SchemaError): string {
  return `${issue.path.join('.')}: ${issue.message}`
}
