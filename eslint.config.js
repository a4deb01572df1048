import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', '**/node_modules/**', 'reports/**'] })
]
