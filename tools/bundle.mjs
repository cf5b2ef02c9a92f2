/** Bundles the two programs of the platform into one file each, and compiles them, so that a start does little. */
import { execFileSync } from 'node:child_process'
import { copyFileSync } from 'node:fs'
import { build } from 'esbuild'

/** The programs, and the flags that they run with: compiled code is only taken with the same ones. */
const PROGRAMS = { entry: ['--max-old-space-size=160'], agent: ['--max-old-space-size=96'] }

await build({
  entryPoints: { entry: 'platform/src/entry-main.ts', agent: 'platform/src/agent-main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  tsconfig: 'tsconfig.bundle.json'
})
copyFileSync('platform/start/start.cjs', 'target/start.cjs')
for (const [program, flags] of Object.entries(PROGRAMS)) {
  execFileSync(process.execPath, [...flags, 'target/start.cjs', program, '--compile'], { stdio: 'inherit' })
}
