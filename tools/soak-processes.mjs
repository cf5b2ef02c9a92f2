/**
 * Runs the soak test of the real programs under seeded faults.
 *
 * `npm run soak:processes -- --seed N --minutes M` runs seed N and then further seeds until M minutes have passed.
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
