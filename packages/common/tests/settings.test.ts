import { describe, expect, test } from 'vitest'
import { AddressListSetting, integerSetting, readSettings, SecretListSetting } from '@baobabpost/common'

const definitions = {
  listenPort: { schema: integerSetting(0, 65_535), about: 'Port', fallback: '0' },
  peers: { schema: AddressListSetting, about: 'Peers', fallback: '' },
  linkKeys: { schema: SecretListSetting, about: 'Keys', secret: true }
}

describe('settings', () => {
  test('a flag takes precedence over an environment variable, which takes precedence over the default', () => {
    const environment = { BAOBABPOST_LISTEN_PORT: '1', BAOBABPOST_LINK_KEYS: 'first-secret,second-secret' }
    const result = readSettings(definitions, ['--listen-port', '7', '--peers=10.0.0.1:9,10.0.0.2:9'], environment)
    expect(result).toEqual({
      kind: 'settings',
      values: {
        listenPort: 7,
        peers: ['10.0.0.1:9', '10.0.0.2:9'],
        linkKeys: ['first-secret', 'second-secret']
      }
    })
  })

  test('all faults are reported at once, one line each, without secrets', () => {
    const environment = { BAOBABPOST_LINK_KEYS: 'tiny', BAOBABPOST_PERS: 'x' }
    const result = readSettings(definitions, ['--listen-port=70000', '--colour=red', '--peers'], environment)
    if (result.kind !== 'faults') throw new Error(`expected faults, got ${result.kind}`)
    expect(result.faults).toHaveLength(5)
    expect(result.faults.join('\n')).toContain('BAOBABPOST_PERS')
    expect(result.faults.join('\n')).toContain('--colour')
    expect(result.faults.join('\n')).not.toContain('tiny')
  })

  test('help and version are returned even if there are faults', () => {
    expect(readSettings(definitions, ['--help', '--nothing=1'], {}).kind).toBe('help')
    expect(readSettings(definitions, ['--version'], {}).kind).toBe('version')
  })
})
