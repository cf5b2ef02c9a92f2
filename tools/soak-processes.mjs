/**
 * Runs the soak test of the real programs under seeded faults.
 *
 * `npm run soak:processes -- --seed N --minutes M [--previous COMMIT] [--crowds]` runs seed N and then further seeds until
 * M minutes have passed. With --previous, the build of an earlier commit is replaced by that of this checkout process by
 * process, and then the other way round, with each seed. With --crowds, misbehaving clients press on the processes too.
 */
import { spawnSync } from 'node:child_process'
import { parseArgs } from 'node:util'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '5' },
    previous: { type: 'string', default: '' },
    crowds: { type: 'boolean', default: false }
  }
})
const { status } = spawnSync('npx', ['vitest', 'run', 'platform/tests/process-soak.test.ts', '-t', 'by hand'], {
  stdio: 'inherit',
  env: {
    ...process.env,
    BAOBABPOST_SOAK_SEED: values.seed,
    BAOBABPOST_SOAK_MINUTES: values.minutes,
    BAOBABPOST_SOAK_PREVIOUS: values.previous,
    BAOBABPOST_SOAK_CROWDS: values.crowds ? '1' : ''
  }
})
process.exitCode = status ?? 1
