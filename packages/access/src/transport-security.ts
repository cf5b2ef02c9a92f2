/** TLS from certificate settings, by Node's own modules. */
import { readFileSync } from 'node:fs'
import type { ServerOptions } from 'node:https'

/** Certificate settings; empty paths mean plain HTTP. */
export interface CertificateSettings {
  /** Path of the certificate chain in PEM. */
  readonly certificateFile: string
  /** Path of the private key in PEM. */
  readonly certificateKeyFile: string
}

/** Outcome of reading the certificate settings. */
export type CertificateReading =
  | { readonly kind: 'plain' }
  | { readonly kind: 'tls', readonly options: ServerOptions }
  | { readonly kind: 'fault', readonly fault: string }

/**
 * Reads the certificate settings.
 *
 * @example
 * readCertificates({ certificateFile: '', certificateKeyFile: '' }).kind // 'plain'
 */
export function readCertificates (settings: CertificateSettings): CertificateReading {
  const { certificateFile, certificateKeyFile } = settings
  if (certificateFile === '' && certificateKeyFile === '') return { kind: 'plain' }
  if (certificateFile === '' || certificateKeyFile === '') {
    return { kind: 'fault', fault: 'a certificate and its key are given together or not at all' }
  }
  try {
    const options = { cert: readFileSync(certificateFile), key: readFileSync(certificateKeyFile), minVersion: 'TLSv1.2' as const }
    return { kind: 'tls', options }
  } catch {
    return { kind: 'fault', fault: `the files '${certificateFile}' and '${certificateKeyFile}' can not be read` }
  }
}
