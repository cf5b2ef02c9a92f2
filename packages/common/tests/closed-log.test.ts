import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { expect, test } from 'vitest'

const COMMON = new URL('../dist/index.js', import.meta.url).href
const PROGRAM = `
  import { createLogger } from ${JSON.stringify(COMMON)}
  const logger = createLogger({ level: 'info', fields: {} })
  let count = 0
  setInterval(() => {
    logger.info('line')
    count += 1
    if (count === 20) process.exit(7)
  }, 10)
`

// The error of the closed pipe was not handled, so that an entry or agent ended with its reader of logs.
test('a process goes on after the reader of its log has closed the pipe', async () => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    cwd: fileURLToPath(new URL('.', import.meta.url)), stdio: ['ignore', 'ignore', 'pipe']
  })
  child.stderr.destroy()
  const code = await new Promise(resolve => { child.once('exit', resolve) })
  expect(code).toBe(7)
})
