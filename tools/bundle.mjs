/**
 * Bundles the two programs of the platform into one file each, and compiles them, so that a start does little.
 *
 * `node tools/bundle.mjs [DIRECTORY [CONSTANT=VALUE]]`: `target` by default; a constant of the lease lengths is changed
 * for tests that must go red without it.
 */
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const [directory = 'target', change] = process.argv.slice(2)

/** The programs, and the flags that they run with: compiled code is only taken with the same ones. */
const PROGRAMS = { entry: ['--max-old-space-size=160'], agent: ['--max-old-space-size=96'] }

function changeLease (build) {
  const [name, value] = change.split('=')
  build.onLoad({ filter: /lease-lengths\.(js|ts)$/ }, ({ path }) => {
    const source = readFileSync(path, 'utf8')
    const changed = source.replace(new RegExp(`${name} = [\\d_]+`), `${name} = ${value}`)
    if (changed === source) throw new Error(`${name} is not a constant of ${path}`)
    return { contents: changed, loader: path.endsWith('.ts') ? 'ts' : 'js' }
  })
}

await build({
  entryPoints: { entry: 'platform/src/entry-main.ts', agent: 'platform/src/agent-main.ts' },
  outdir: directory,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  tsconfig: 'tsconfig.bundle.json',
  plugins: change === undefined ? [] : [{ name: 'change lease', setup: changeLease }]
})
copyFileSync('platform/start/start.cjs', join(directory, 'start.cjs'))
for (const [program, flags] of Object.entries(PROGRAMS)) {
  execFileSync(process.execPath, [...flags, join(directory, 'start.cjs'), program, '--compile'], { stdio: 'inherit' })
}
