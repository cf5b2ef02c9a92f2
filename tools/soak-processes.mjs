/**
 * Soaks the real programs under seeded faults.
 *
 * `npm run soak:processes -- --seed N --minutes M` plays seed N, and the seeds after it until the minutes are over.
 */
import { spawnSync } from 'node:child_process'
import { parseArgs } from 'node:util'

const { values } = parseArgs({
  options: { seed: { type: 'string', default: '1' }, minutes: { type: 'string', default: '5' } }
})
const { status } = spawnSync('npx', ['vitest', 'run', 'platform/tests/process-soak.test.ts', '-t', 'by hand'], {
  stdio: 'inherit',
  env: { ...process.env, BAOBABPOST_SOAK_SEED: values.seed, BAOBABPOST_SOAK_MINUTES: values.minutes }
})
process.exitCode = status ?? 1
