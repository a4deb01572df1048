import { readFile } from 'node:fs/promises'
import { parseAllDocuments } from 'yaml'
import type { Document } from 'yaml'
import { CliError } from './cliError.ts'

/** Reads resources from YAML or JSON files. A file may hold several documents and a document may be a list. Throws a CliError with the path and the cause. */
export async function readResourceFiles (paths: string[]): Promise<unknown[]> {
  const lists = await Promise.all(paths.map(readResourceFile))
  return lists.flat()
}

async function readResourceFile (path: string): Promise<unknown[]> {
  const text = await readFile(path, 'utf8').catch(cause => {
    throw new CliError(`The file ${path} cannot be read: check the path.`, { cause })
  })
  return parseResourceText(path, text)
}

/** Parses the resources in the text of one file; `path` is used in errors only. */
export function parseResourceText (path: string, text: string): unknown[] {
  const documents = parseAllDocuments(text)
  if ('empty' in documents) return []
  return documents.flatMap(document => {
    if (document.errors.length > 0) throw new CliError(`${path}: ${document.errors[0].message}`)
    const value = convertDocument(path, document)
    return Array.isArray(value) ? value : [value]
  })
}

/** Converts a document to a value. The parser reports an alias without an anchor only here, not in `document.errors`. */
function convertDocument (path: string, document: Document.Parsed): unknown {
  try {
    return document.toJS()
  } catch (cause) {
    throw new CliError(`${path}: ${(cause as Error).message}`, { cause })
  }
}
