import jsdoc from 'eslint-plugin-jsdoc'
import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', '**/node_modules/**', 'reports/**', 'target/**'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/__tests__/**', '**/index.ts', '**/main.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        enableFixer: false,
        require: { ClassDeclaration: true, FunctionDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'ExportNamedDeclaration > VariableDeclaration']
      }],
      'jsdoc/require-description': 'error'
    }
  }
]
