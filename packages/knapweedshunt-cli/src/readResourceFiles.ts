import { readFile } from 'node:fs/promises'
import { parseAllDocuments } from 'yaml'
import type { Document } from 'yaml'
import { CliError } from './cliError.ts'

/** Reads declared resources from YAML or JSON files; a file may hold several documents, a document may be a list. Throws CliError that names file and place. */
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

/** Parses the text of one file. */
export function parseResourceText (path: string, text: string): unknown[] {
  const documents = parseAllDocuments(text)
  if ('empty' in documents) return []
  return documents.flatMap(document => {
    if (document.errors.length > 0) throw new CliError(`${path}: ${document.errors[0].message}`)
    const value = convertDocument(path, document)
    return Array.isArray(value) ? value : [value]
  })
}

/** An alias without its anchor shows only here. */
function convertDocument (path: string, document: Document.Parsed): unknown {
  try {
    return document.toJS()
  } catch (cause) {
    throw new CliError(`${path}: ${(cause as Error).message}`, { cause })
  }
}
