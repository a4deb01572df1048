import test from 'ava'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import fc from 'fast-check'
import { EventSplitter } from '../eventSplitter.ts'

const LINES = ['', '', 'data: x', 'data: é', 'data:', 'id: 1', 'event: e', ': comment', 'retry', 'data: a longer line of data']
const LINE_ENDS = ['\n', '\r\n', '\r']
const textArbitrary = fc.array(fc.tuple(fc.constantFrom(...LINES), fc.constantFrom(...LINE_ENDS))).map(lines => lines.flat().join(''))

function parse (texts: string[]): EventSourceMessage[] {
  const events: EventSourceMessage[] = []
  const parser = createParser({ onEvent: event => events.push(event) })
  for (const text of texts) parser.feed(text)
  return events
}

function splitAt (text: string, sizes: number[]): Buffer[] {
  const bytes = Buffer.from(text)
  const chunks: Buffer[] = []
  let start = 0
  for (const size of sizes) {
    chunks.push(bytes.subarray(start, start + size))
    start += size
  }
  return [...chunks, bytes.subarray(start)]
}

test('the parts of a stream have the events of the whole, and each event comes with its blank line', t => {
  fc.assert(fc.property(textArbitrary, fc.array(fc.integer({ min: 0, max: 20 })), (text, sizes) => {
    const splitter = new EventSplitter()
    const texts = splitAt(`${text}\n`, sizes).map(chunk => splitter.add(chunk))
    t.deepEqual(parse(texts), parse([`${text}\n`]))
  }))
})

// Guards against an event whose lines take ten times their size and more, beside comments that let it count as complete.
test('an event without its blank line is kept as bytes', t => {
  const splitter = new EventSplitter()
  const texts = Array.from({ length: 1_000 }, () => splitter.add(Buffer.from('data:xy\n: comment\n'.repeat(10))))
  t.is(texts.join(''), '')
  t.true(splitter.capacity < splitter.length + 16 * 1024, `${splitter.capacity} bytes for ${splitter.length}`)
})
