/** Bundles the two programs of the platform into one file each, so that a start reads and compiles little. */
import { build } from 'esbuild'

await build({
  entryPoints: { entry: 'platform/src/entry-main.ts', agent: 'platform/src/agent-main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  tsconfig: 'tsconfig.bundle.json',
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
