/**
 * Bundles the entry and the agent into one file each and writes their V8 code caches, which shorten their start.
 *
 * `node tools/bundle.mjs [DIRECTORY [CONSTANT=VALUE]] [--readable]`: DIRECTORY is `target` by default. CONSTANT=VALUE
 * overrides a constant of lease-lengths.ts, for tests which show that a wrong lease breaks a guarantee. With --readable,
 * functions keep their names, for profiles.
 */
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const [directory = 'target', override] = process.argv.slice(2).filter(argument => !argument.startsWith('--'))
const isReadable = process.argv.includes('--readable')

/** Programs with their Node.js flags. V8 accepts a code cache only under the flags with which it was written. */
const PROGRAMS = { entry: ['--max-old-space-size=160'], agent: ['--max-old-space-size=96'] }

function overrideLeaseConstant (build) {
  const [name, value] = override.split('=')
  build.onLoad({ filter: /lease-lengths\.(js|ts)$/ }, ({ path }) => {
    const source = readFileSync(path, 'utf8')
    const changed = source.replace(new RegExp(`${name} = [\\d_]+`), `${name} = ${value}`)
    if (changed === source) throw new Error(`${name} is not a numeric constant of ${path}`)
    return { contents: changed, loader: path.endsWith('.ts') ? 'ts' : 'js' }
  })
}

/**
 * Parts of prom-client that nothing here uses. Its index loads them at once, and with them HTTPS, TLS and performance
 * hooks, which takes a fifth of a program's own start.
 */
const UNUSED_METRICS_PARTS = /\/(pushgateway|defaultMetrics|cluster)$/

const leaveOutUnusedParts = {
  name: 'leave out unused parts',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: UNUSED_METRICS_PARTS }, ({ path, importer }) =>
      importer.includes('/prom-client/') ? { path, namespace: 'unused' } : undefined)
    onLoad({ filter: /./, namespace: 'unused' }, () => ({ contents: '' }))
  }
}

await build({
  entryPoints: { entry: 'platform/src/entry-main.ts', agent: 'platform/src/agent-main.ts' },
  outdir: directory,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: !isReadable,
  tsconfig: 'tsconfig.bundle.json',
  plugins: [
    leaveOutUnusedParts,
    ...(override === undefined ? [] : [{ name: 'override lease constant', setup: overrideLeaseConstant }])
  ]
})
copyFileSync('platform/start/start.cjs', join(directory, 'start.cjs'))
for (const [program, flags] of Object.entries(PROGRAMS)) {
  execFileSync(process.execPath, [...flags, join(directory, 'start.cjs'), program, '--compile'], { stdio: 'inherit' })
}
