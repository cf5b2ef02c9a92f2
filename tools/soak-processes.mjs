/**
 * Runs the soak test of the real programs under seeded faults.
 *
 * `npm run soak:processes -- --seed N --minutes M [--previous COMMIT]` runs seed N and then further seeds until M minutes
 * have passed. With --previous, the build of an earlier commit is replaced by that of this checkout process by process,
 * and then the other way round, with each seed.
 */
import { spawnSync } from 'node:child_process'
import { parseArgs } from 'node:util'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '5' },
    previous: { type: 'string', default: '' }
  }
})
const { status } = spawnSync('npx', ['vitest', 'run', 'platform/tests/process-soak.test.ts', '-t', 'by hand'], {
  stdio: 'inherit',
  env: {
    ...process.env,
    BAOBABPOST_SOAK_SEED: values.seed,
    BAOBABPOST_SOAK_MINUTES: values.minutes,
    BAOBABPOST_SOAK_PREVIOUS: values.previous
  }
})
process.exitCode = status ?? 1
