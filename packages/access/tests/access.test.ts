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

  test('a valid key gives the role and the subject of the sender', () => {
    expect(access.authenticate('Bearer medina-secret-0123')).toEqual({ role: 'caller', subject: 'medina' })
    expect(access.authenticate('bearer operator-secret-01')).toEqual({ role: 'operator', subject: 'awa' })
  })

  test('no text other than the secret of a key is accepted', () => {
    fc.assert(fc.property(fc.string(), text => {
      fc.pre(!text.includes('secret'))
      expect(kindOf(access.authenticate(`Bearer ${text}`))).toBe('unauthenticated')
    }))
  })

  test('an error never contains the secret that was sent', () => {
    const error = access.authenticate('Bearer stolen-but-expired-key')
    expect(kindOf(error)).toBe('unauthenticated')
    expect(inspect(error)).not.toContain('stolen')
  })

  test('without any keys every request is unauthenticated', () => {
    expect(kindOf(createAccess({ keys: [] }).authenticate('Bearer medina-secret-0123'))).toBe('unauthenticated')
  })
})

describe('authorization', () => {
  test('a caller may act neither for another customer nor as an operator', () => {
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
  test('every invalid key is a fault that does not contain its text', () => {
    const reading = parseKeys('admin:awa:long-enough-secret-1\n# remark\ncaller:a b:long-enough-secret-2,caller:medina:short-one')
    expect(reading.keys).toHaveLength(0)
    expect(reading.faults).toHaveLength(3)
    expect(reading.faults.join()).not.toMatch(/long-enough|short-one/)
  })

  test('a secret may contain colons', () => {
    const access = createAccess({ keys: parseKeys('caller:medina:with:colons:0123456789').keys })
    expect(kindOf(access.authenticate('Bearer with:colons:0123456789'))).toBe('accepted')
  })
})

describe('key file', () => {
  let directory: string
  let file: string
  const logLines: string[] = []
  const log = (message: string, fields?: object): void => { logLines.push(message + JSON.stringify(fields)) }
  const logger: Logger = { error: log, warn: log, info: log, debug: log }

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'baobabpost-keys-'))
    file = join(directory, 'keys')
    logLines.length = 0
  })
  afterEach(() => { rmSync(directory, { recursive: true }) })

  test('during key rotation the old or the new key is valid at any time', () => {
    const newKey = 'caller:medina:medina-renewed-4567'
    writeFileSync(file, MEDINA)
    const settings = { text: '', file }
    const access = createAccess({ keys: readKeySettings(settings).keys })
    const source = createKeySource({ settings, access, logger })
    const acceptedSecrets = (): string[] => ['medina-secret-0123', 'medina-renewed-4567']
      .filter(secret => kindOf(access.authenticate(`Bearer ${secret}`)) === 'accepted')
    source.refresh()
    expect(acceptedSecrets()).toEqual(['medina-secret-0123'])
    writeFileSync(file, `${MEDINA}\n${newKey}\n`)
    source.refresh()
    expect(acceptedSecrets()).toEqual(['medina-secret-0123', 'medina-renewed-4567'])
    writeFileSync(file, `${newKey}\n`)
    source.refresh()
    expect(acceptedSecrets()).toEqual(['medina-renewed-4567'])
  })

  test('an invalid or deleted key file leaves the keys in force and is logged without secrets', () => {
    writeFileSync(file, MEDINA)
    const settings = { text: '', file }
    const access = createAccess({ keys: readKeySettings(settings).keys })
    const source = createKeySource({ settings, access, logger })
    writeFileSync(file, `${MEDINA}\nnonsense-secret\n`)
    source.refresh()
    rmSync(file)
    source.refresh()
    expect(kindOf(access.authenticate('Bearer medina-secret-0123'))).toBe('accepted')
    expect(logLines).toHaveLength(2)
    expect(logLines.join()).not.toContain('secret')
  })

  test('a missing key file is a fault', () => {
    expect(readKeySettings({ text: AWA, file: join(directory, 'absent') }).faults).toHaveLength(1)
  })
})

describe('certificates', () => {
  test('without settings the server uses plain HTTP; one setting alone or unreadable files are a fault', () => {
    expect(readCertificates({ certificateFile: '', certificateKeyFile: '' }).kind).toBe('plain')
    expect(readCertificates({ certificateFile: 'a.pem', certificateKeyFile: '' }).kind).toBe('fault')
    expect(readCertificates({ certificateFile: '/absent/a', certificateKeyFile: '/absent/b' }).kind).toBe('fault')
  })
})
