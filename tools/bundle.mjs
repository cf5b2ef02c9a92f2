/**
 * Bundles the entry and the agent and writes a startup snapshot of each, `entry.blob` and `agent.blob`, with which a
 * process starts with its modules loaded and its functions compiled. Only the Node.js binary that wrote a snapshot
 * accepts it, and only with the same flags of V8.
 *
 * `node tools/bundle.mjs [DIRECTORY [CONSTANT=VALUE]] [--readable] [--flag=FLAG_OF_V8]...`: DIRECTORY is `target` by
 * default. CONSTANT=VALUE overrides a constant of lease-lengths.ts, for tests which show that a wrong lease breaks a
 * guarantee. With --readable, functions keep their names, for profiles.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const [directory = 'target', override] = process.argv.slice(2).filter(argument => !argument.startsWith('--'))
const isReadable = process.argv.includes('--readable')
const flags = process.argv.filter(argument => argument.startsWith('--flag=')).map(argument => argument.slice('--flag='.length))

/**
 * Programs with their flags of V8, which deploy/system.toml gives as well. A function has to run eight times as long as
 * by default before V8 optimizes it: most processes end, or wait for input, before that pays.
 */
const PROGRAMS = {
  entry: ['--max-old-space-size=160', '--interrupt-budget=1000000'],
  agent: ['--max-old-space-size=96', '--interrupt-budget=1000000']
}

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

/** Modules of Node.js whose native state a startup snapshot can't hold. */
const NETWORK_MODULES = /^(node:)?(http|https|net)$/

/** Loads the network modules when one of their exports is first used, after the start from the snapshot. */
const deferNetworkModules = {
  name: 'defer network modules',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: NETWORK_MODULES }, ({ path, namespace }) =>
      namespace === 'deferred' ? undefined : { path, namespace: 'deferred' })
    onLoad({ filter: /./, namespace: 'deferred' }, async ({ path }) => {
      const names = Object.keys((await import(path)).default)
      return {
        contents: `
          let loaded
          for (const name of ${JSON.stringify(names)}) {
            Object.defineProperty(module.exports, name, {
              enumerable: true, get: () => (loaded ??= require(${JSON.stringify(path)}))[name]
            })
          }`
      }
    })
  }
}

await build({
  entryPoints: { entry: 'platform/src/entry-snapshot.ts', agent: 'platform/src/agent-snapshot.ts' },
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
    deferNetworkModules,
    ...(override === undefined ? [] : [{ name: 'override lease constant', setup: overrideLeaseConstant }])
  ]
})
for (const [program, programFlags] of Object.entries(PROGRAMS)) {
  execFileSync(process.execPath, [
    ...programFlags, ...flags,
    '--snapshot-blob', join(directory, `${program}.blob`), '--build-snapshot', join(directory, `${program}.cjs`)
  ], { stdio: 'inherit' })
}
