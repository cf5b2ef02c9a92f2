/** Reads access keys from the settings and reloads them when the key file changes. */
import { readFileSync, statSync } from 'node:fs'
import type { Logger } from '@baobabpost/common'
import type { Access } from './access.js'
import { parseKeys, type ParsedKeys } from './access-key.js'

/** Sources of keys: the text of a setting, a key file, or both. */
export interface KeySettings {
  readonly text: string
  /** Path of a file with one key per line; empty if there is none. */
  readonly file: string
}

/**
 * Reads the keys from the setting and the key file.
 *
 * @returns All valid keys and all faults; an unreadable file is a fault.
 * @example
 * const { keys, faults } = readKeySettings({ text: '', file: '/run/secrets/baobabpost-keys' })
 */
export function readKeySettings (settings: KeySettings): ParsedKeys {
  const fromText = parseKeys(settings.text)
  if (settings.file === '') return fromText
  const fromFile = readKeyFile(settings.file)
  return { keys: [...fromText.keys, ...fromFile.keys], faults: [...fromText.faults, ...fromFile.faults] }
}

function readKeyFile (file: string): ParsedKeys {
  try {
    return parseKeys(readFileSync(file, 'utf8'))
  } catch {
    return { keys: [], faults: [`cannot read the key file '${file}'`] }
  }
}

/** Returns a text that changes whenever the file is replaced or modified. */
function fingerprint (file: string): string {
  try {
    const { mtimeMs, ino, size } = statSync(file)
    return `${mtimeMs}:${ino}:${size}`
  } catch {
    return 'unreadable'
  }
}

/** Reloads the key file when it changes. */
export interface KeySource {
  /** Reloads the key file if it changed; call it every few seconds. A file with a fault leaves the keys unchanged. */
  refresh: () => void
}

/**
 * Creates a source that replaces the keys of `access` when the key file changes.
 *
 * @example
 * const source = createKeySource({ settings, access, logger })
 * setInterval(source.refresh, 2_000)
 */
export function createKeySource (
  options: { readonly settings: KeySettings, readonly access: Access, readonly logger: Logger }
): KeySource {
  const { settings, access, logger } = options
  let lastFingerprint = settings.file === '' ? '' : fingerprint(settings.file)
  return {
    refresh () {
      if (settings.file === '') return
      const currentFingerprint = fingerprint(settings.file)
      if (currentFingerprint === lastFingerprint) return
      lastFingerprint = currentFingerprint
      const reading = readKeySettings(settings)
      for (const fault of reading.faults) logger.error('access keys not reloaded because of a fault', { fault })
      if (reading.faults.length > 0) return
      access.setKeys(reading.keys)
      logger.info('access keys reloaded', { keys: reading.keys.length })
    }
  }
}
