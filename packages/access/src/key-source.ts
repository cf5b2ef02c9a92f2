/** Keeps the keys of an entry up to date with the file that holds them. */
import { readFileSync, statSync } from 'node:fs'
import type { Logger } from '@baobabpost/common'
import type { Access } from './access.js'
import { parseKeys, type ParsedKeys } from './access-key.js'

/** Where keys come from: the text of a setting, a file with one key a line, or both. */
export interface KeySettings {
  readonly text: string
  /** Path of the key file; the empty text is none. */
  readonly file: string
}

/**
 * Reads the keys of the settings.
 *
 * @returns All keys and all faults; a file that can't be read is a fault.
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
    return { keys: [], faults: [`the key file '${file}' can not be read`] }
  }
}

/** Text that differs whenever the file was replaced or changed. */
function fingerprint (file: string): string {
  try {
    const { mtimeMs, ino, size } = statSync(file)
    return `${mtimeMs}:${ino}:${size}`
  } catch {
    return 'unreadable'
  }
}

/** Re-reads the key file when it changed. */
export interface KeySource {
  /** Looks whether the file changed; call it every few seconds. A file with a fault leaves the keys as they are. */
  refresh: () => void
}

/**
 * Makes a source that keeps `access` up to date with the settings.
 *
 * @example
 * const source = createKeySource({ settings, access, logger })
 * setInterval(source.refresh, 2_000)
 */
export function createKeySource (
  options: { readonly settings: KeySettings, readonly access: Access, readonly logger: Logger }
): KeySource {
  const { settings, access, logger } = options
  let seen = settings.file === '' ? '' : fingerprint(settings.file)
  return {
    refresh () {
      if (settings.file === '') return
      const present = fingerprint(settings.file)
      if (present === seen) return
      seen = present
      const reading = readKeySettings(settings)
      for (const fault of reading.faults) logger.error('the access keys were not changed', { fault })
      if (reading.faults.length > 0) return
      access.setKeys(reading.keys)
      logger.info('the access keys were read again', { keys: reading.keys.length })
    }
  }
}
