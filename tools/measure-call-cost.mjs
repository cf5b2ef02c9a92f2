/**
 * Measures what a job costs the bundled programs on loopback stand-ins: processor time, bytes, reads and writes.
 *
 * `node tools/measure-call-cost.mjs [--entries N] [--agents N] [--rate JOBS_PER_SECOND] [--seconds N] [--profile]
 * [--compare DIRECTORY] [--flag=FLAG_OF_NODE]...`
 *
 * Prints one line for each role. The figures are sums over all processes of the role, for each job; without load
 * (`--rate 0`) for each second and process. With --profile, functions keep their names, and the share of processor time
 * by cause follows for each role. With --compare, bundled programs of another version in DIRECTORY, as tools/bundle.mjs
 * writes them, run the same load at the same time: on a busy machine only such figures can be compared. Linux only: the figures come from /proc.
 */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { build } from 'esbuild'

/** Third octet of the loopback addresses; programs to compare with get the next one. */
const NETWORK = 120
const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const CLOCK_TICK_MILLISECONDS = 10
const WARM_UP_SECONDS = 3
/** Kinds of the first load of docs/HARD-LOAD.md, with their shares of the jobs. */
const KINDS = [
  { share: 0.244, tasks: 8, milliseconds: 86 },
  { share: 0.044, tasks: 4, milliseconds: 1_286 },
  { share: 0.712, tasks: 2, milliseconds: 286 }
]
/** Causes of processor time: the innermost function of a stack that matches, by its name and source, decides. */
const CAUSES = [
  ['start of the process', /^(compileForInternalLoader|Script|compileFunction|run_main_module) |start\.cjs/],
  ['logging and metrics', /^(log|formatLine|observe|_logFn|_log|scheduleFlush|writeToStandardOutput) .*\.cjs/],
  ['schema checks', /^(decode\w*|readListing|readClock|readOutcome) .*\.cjs/],
  ['JSON', /^(parse|stringify|parseJson\d*|readAnswer\d*) /],
  ['profile and load', /^(refreshProfile|describeLoad|describeProfile|describeAgent) /],
  ['timers', /timers$/],
  ['HTTP', / node:(_http|http|internal\/http)/],
  ['sockets and streams', / node:(net|internal\/streams|stream|internal\/stream_base)/],
  ['garbage collection', /^\(garbage collector\) /],
  ['event loop', /^\(program\) |task_queues$/],
  ['upstream client', /^(sendRequest|post) .*\.cjs/],
  ['calls between processes', /^(call|answerCall|sendResponse|JSONRPCServer\w*|flush|read) .*\.cjs/],
  ['other code of the program', /\.cjs$/]
]

const { values } = parseArgs({
  options: {
    entries: { type: 'string', default: '8' },
    agents: { type: 'string', default: '2' },
    rate: { type: 'string', default: '22' },
    seconds: { type: 'string', default: '20' },
    profile: { type: 'boolean', default: false },
    compare: { type: 'string' },
    flag: { type: 'string', multiple: true, default: [] }
  }
})
const [entries, agents, rate, seconds] = [values.entries, values.agents, values.rate, values.seconds].map(Number)

function readUsage (pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  const io = Object.fromEntries(readFileSync(`/proc/${pid}/io`, 'utf8').trim().split('\n').map(line => line.split(': ')))
  return {
    milliseconds: (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MILLISECONDS,
    'of them in the system': Number(fields[12]) * CLOCK_TICK_MILLISECONDS,
    bytes: Number(io.rchar) + Number(io.wchar),
    reads: Number(io.syscr),
    writes: Number(io.syscw)
  }
}

function sumUsage (processes, role) {
  const sum = {}
  for (const { pid } of processes.filter(process => process.role === role)) {
    for (const [name, value] of Object.entries(readUsage(pid))) sum[name] = (sum[name] ?? 0) + value
  }
  return sum
}

function chooseKind (position) {
  let threshold = 0
  for (const kind of KINDS) {
    threshold += kind.share
    if (position < threshold) return kind
  }
  return KINDS[KINDS.length - 1]
}

/** Sends jobs at the rate for a time; resolves to the number of completed ones when all are answered. */
async function sendJobs (site, duration, prefix) {
  const answers = []
  const startedAt = performance.now()
  for (let number = 0; number < rate * duration; number += 1) {
    await pause(Math.max(0, startedAt + 1_000 * number / rate - performance.now()))
    // The golden ratio spreads the kinds evenly, the same in each run.
    const { tasks, milliseconds } = chooseKind(number * 0.618_034 % 1)
    const work = { milliseconds, size: { processor: 5_000, memory: 64, accelerators: 0 } }
    const id = `${prefix}${number.toString(16).padStart(14, '0')}`
    answers.push(site.submit(id, work, tasks, milliseconds, site.entryHosts[number % entries]))
  }
  const statuses = await Promise.all(answers)
  return statuses.filter(({ status }) => status === 200).length
}

/** Adds the samples of one profile to the processor time by cause, in microseconds. */
function addCauses (profile, totals) {
  const nodes = new Map(profile.nodes.map(node => [node.id, node]))
  for (const node of profile.nodes) for (const child of node.children ?? []) nodes.get(child).parent = node
  for (const [index, id] of profile.samples.entries()) {
    let node = nodes.get(id)
    if (node.callFrame.functionName === '(idle)') continue
    let cause
    for (; node !== undefined && cause === undefined; node = node.parent) {
      const { functionName, url } = node.callFrame
      cause = CAUSES.find(([, pattern]) => pattern.test(`${functionName} ${url}`))?.[0]
    }
    totals.set(cause ?? 'other', (totals.get(cause ?? 'other') ?? 0) + profile.timeDeltas[index])
  }
}

function printCauses (directory, processes, role) {
  const totals = new Map()
  const pids = new Set(processes.filter(process => process.role === role).map(({ pid }) => String(pid)))
  for (const name of readdirSync(directory).filter(file => file.endsWith('.cpuprofile') && pids.has(file.split('.')[3]))) {
    addCauses(JSON.parse(readFileSync(join(directory, name), 'utf8')), totals)
  }
  const sum = [...totals.values()].reduce((left, right) => left + right, 0)
  for (const [cause, time] of [...totals].sort((left, right) => right[1] - left[1])) {
    console.log(`  ${role}: ${cause.padEnd(30)} ${(100 * time / sum).toFixed(1)} %`)
  }
}

/** Starts a site with the bundled programs of a directory, runs the load and prints the figures. */
async function measure (startStandInSite, network, programDirectory, label) {
  const site = await startStandInSite(network, Array.from({ length: agents }, () => 1), {
    entries,
    capacity: CAPACITY,
    programDirectory,
    nodeFlags: [
      ...values.profile ? ['--cpu-prof', `--cpu-prof-dir=${directory}`] : [],
      ...programDirectory === directory ? values.flag : []
    ]
  })
  if (rate > 0) await sendJobs(site, WARM_UP_SECONDS, 'a0')
  else await pause(1_000 * WARM_UP_SECONDS)
  const before = { entry: sumUsage(site.processes, 'entry'), agent: sumUsage(site.processes, 'agent') }
  const startedAt = performance.now()
  const completed = rate > 0 ? await sendJobs(site, seconds, 'b0') : 0
  if (rate === 0) await pause(1_000 * seconds)
  const elapsedSeconds = (performance.now() - startedAt) / 1_000
  for (const role of ['entry', 'agent']) {
    const after = sumUsage(site.processes, role)
    const divisor = rate > 0 ? completed : elapsedSeconds * (role === 'entry' ? entries : agents)
    const figures = Object.keys(after).map(name => `${((after[name] - before[role][name]) / divisor).toFixed(2)} ${name}`)
    console.log(`${label}: ${role} (${entries} entries, ${agents} agents): ${figures.join(', ')} ${rate > 0 ? 'a job' : 'a second'}`)
  }
  if (rate > 0) console.log(`${label}: ${completed} of ${Math.ceil(rate * seconds)} jobs completed in ${elapsedSeconds.toFixed(1)} s`)
  await site.stop()
  if (values.profile && programDirectory === directory) for (const role of ['entry', 'agent']) printCauses(directory, site.processes, role)
}

const directory = mkdtempSync(join(tmpdir(), 'baobabpost-cost-'))
try {
  execFileSync(process.execPath, [
    'tools/bundle.mjs', directory, ...values.profile ? ['--readable'] : [], ...values.flag.map(flag => `--flag=${flag}`)
  ])
  const siteModule = join(directory, 'site.mjs')
  await build({
    entryPoints: ['platform/tests/stand-in-site.ts'],
    outfile: siteModule,
    bundle: true,
    platform: 'node',
    format: 'esm',
    tsconfig: 'tsconfig.bundle.json',
    banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url)" }
  })
  const { startStandInSite } = await import(siteModule)
  await Promise.all([
    measure(startStandInSite, NETWORK, directory, 'this version'),
    ...values.compare === undefined ? [] : [measure(startStandInSite, NETWORK + 1, values.compare, values.compare)]
  ])
} finally {
  rmSync(directory, { recursive: true })
}
