import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { inspect } from 'node:util'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { DispatchError, type Logger } from '@baobabpost/common'
import {
  authorizeCustomer, authorizeOperator, createAccess, createKeySource, readCertificates, parseKeys, readKeySettings
} from '@baobabpost/access'

const MEDINA = 'caller:medina:medina-secret-0123'
const PIKINE = 'caller:pikine:pikine-secret-0123'
const AWA = 'operator:awa:operator-secret-01'

function kindOf (result: unknown): string {
  return result instanceof DispatchError ? result.kind : 'accepted'
}

describe('authentication', () => {
  const access = createAccess({ keys: parseKeys([MEDINA, PIKINE, AWA].join(',')).keys })

  test('a request without a key, with another scheme or with a wrong key is unauthenticated', () => {
    for (const header of [undefined, '', 'Bearer', 'Bearer ', 'Basic bWVkaW5h', 'Bearer medina-secret-0124']) {
      expect(kindOf(access.authenticate(header)), String(header)).toBe('unauthenticated')
    }
  })

  test('a right key tells the role and the subject', () => {
    expect(access.authenticate('Bearer medina-secret-0123')).toEqual({ role: 'caller', subject: 'medina' })
    expect(access.authenticate('bearer operator-secret-01')).toEqual({ role: 'operator', subject: 'awa' })
  })

  test('no other text than the key itself is accepted', () => {
    fc.assert(fc.property(fc.string(), text => {
      fc.pre(!text.includes('secret'))
      expect(kindOf(access.authenticate(`Bearer ${text}`))).toBe('unauthenticated')
    }))
  })

  test('an error never repeats what was sent', () => {
    const error = access.authenticate('Bearer stolen-but-expired-key')
    expect(kindOf(error)).toBe('unauthenticated')
    expect(inspect(error)).not.toContain('stolen')
  })

  test('without keys nobody is let in', () => {
    expect(kindOf(createAccess({ keys: [] }).authenticate('Bearer medina-secret-0123'))).toBe('unauthenticated')
  })
})

describe('authorization', () => {
  test("a caller is refused for another customer's work and for an operator's", () => {
    const medina = { role: 'caller', subject: 'medina' } as const
    expect(authorizeCustomer(medina, 'medina')).toBeUndefined()
    expect(authorizeCustomer(medina, 'pikine')?.kind).toBe('forbidden')
    expect(authorizeOperator(medina)?.kind).toBe('forbidden')
  })

  test('an operator may act for every customer', () => {
    const awa = { role: 'operator', subject: 'awa' } as const
    expect(authorizeCustomer(awa, 'medina')).toBeUndefined()
    expect(authorizeOperator(awa)).toBeUndefined()
  })
})

describe('key text', () => {
  test('every wrong key is a fault that names its place and not its text', () => {
    const reading = parseKeys('admin:awa:long-enough-secret-1\n# remark\ncaller:a b:long-enough-secret-2,caller:medina:short-one')
    expect(reading.keys).toHaveLength(0)
    expect(reading.faults).toHaveLength(3)
    expect(reading.faults.join()).not.toMatch(/long-enough|short-one/)
  })

  test('a secret may hold colons', () => {
    const access = createAccess({ keys: parseKeys('caller:medina:with:colons:0123456789').keys })
    expect(kindOf(access.authenticate('Bearer with:colons:0123456789'))).toBe('accepted')
  })
})

describe('key file', () => {
  let directory: string
  let file: string
  const lines: string[] = []
  const log = (message: string, fields?: object): void => { lines.push(message + JSON.stringify(fields)) }
  const logger: Logger = { error: log, warn: log, info: log, debug: log }

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'baobabpost-keys-'))
    file = join(directory, 'keys')
    lines.length = 0
  })
  afterEach(() => { rmSync(directory, { recursive: true }) })

  test('a key rotates without a moment in which neither the old nor the new one is valid', () => {
    const renewed = 'caller:medina:medina-renewed-4567'
    writeFileSync(file, MEDINA)
    const settings = { text: '', file }
    const access = createAccess({ keys: readKeySettings(settings).keys })
    const source = createKeySource({ settings, access, logger })
    const accepted = (): string[] => ['medina-secret-0123', 'medina-renewed-4567']
      .filter(secret => kindOf(access.authenticate(`Bearer ${secret}`)) === 'accepted')
    source.refresh()
    expect(accepted()).toEqual(['medina-secret-0123'])
    writeFileSync(file, `${MEDINA}\n${renewed}\n`)
    source.refresh()
    expect(accepted()).toEqual(['medina-secret-0123', 'medina-renewed-4567'])
    writeFileSync(file, `${renewed}\n`)
    source.refresh()
    expect(accepted()).toEqual(['medina-renewed-4567'])
  })

  test('a file with a fault, or one that vanished, leaves the keys in force and says so without secrets', () => {
    writeFileSync(file, MEDINA)
    const settings = { text: '', file }
    const access = createAccess({ keys: readKeySettings(settings).keys })
    const source = createKeySource({ settings, access, logger })
    writeFileSync(file, `${MEDINA}\nnonsense-secret\n`)
    source.refresh()
    rmSync(file)
    source.refresh()
    expect(kindOf(access.authenticate('Bearer medina-secret-0123'))).toBe('accepted')
    expect(lines).toHaveLength(2)
    expect(lines.join()).not.toContain('secret')
  })

  test('a key file that can not be read at the start is a fault', () => {
    expect(readKeySettings({ text: AWA, file: join(directory, 'absent') }).faults).toHaveLength(1)
  })
})

describe('certificates', () => {
  test('no settings mean plain HTTP; half of them or unreadable files are a fault', () => {
    expect(readCertificates({ certificateFile: '', certificateKeyFile: '' }).kind).toBe('plain')
    expect(readCertificates({ certificateFile: 'a.pem', certificateKeyFile: '' }).kind).toBe('fault')
    expect(readCertificates({ certificateFile: '/absent/a', certificateKeyFile: '/absent/b' }).kind).toBe('fault')
  })
})
