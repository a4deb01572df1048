import test from 'ava'
import { z } from 'zod'
import { buildArraySchema, sharedPollResultSchema } from '../index.ts'

const schema = z.object({ rows: buildArraySchema(z.object({ key: z.string(), count: z.number().default(1) })) })

test('items that match are parsed', t => {
  t.deepEqual(schema.parse({ rows: [{ key: 'a', other: 0 }, { key: 'b', count: 2 }] }), { rows: [{ key: 'a', count: 1 }, { key: 'b', count: 2 }] })
  t.deepEqual(schema.parse({ rows: [] }), { rows: [] })
  t.false(schema.safeParse({ rows: {} }).success)
  t.false(schema.safeParse({}).success)
})

// Guards against an object for each thing that is wrong with an answer.
test('the first item that does not match is named, and no other', t => {
  const { error } = schema.safeParse({ rows: [{ key: 'a' }, ...Array(100_000).fill(0)] })
  t.deepEqual(error?.issues.map(({ path }) => path), [['rows', 1]])
  t.regex(error?.issues[0].message ?? '', /expected object/)
})

test('what is wrong with tables of another VM is named once', t => {
  const table = { type: 'changes', table: 't', rows: Array(100_000).fill(0), version: 1, era: null, ageMs: 0 }
  t.is(sharedPollResultSchema.safeParse({ tables: [table] }).error?.issues.length, 1)
  t.is(sharedPollResultSchema.safeParse({ tables: Array(100_000).fill(0) }).error?.issues.length, 1)
})
