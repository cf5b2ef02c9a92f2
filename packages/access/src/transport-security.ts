/** Reads the TLS options of a server from certificate files. */
import { readFileSync } from 'node:fs'
import type { ServerOptions } from 'node:https'

/** Certificate settings; if both paths are empty, the server uses plain HTTP. */
export interface CertificateSettings {
  /** Path of the certificate chain in PEM. */
  readonly certificateFile: string
  /** Path of the private key in PEM. */
  readonly certificateKeyFile: string
}

/** TLS options, plain HTTP, or a fault of the certificate settings. */
export type CertificateReading =
  | { readonly kind: 'plain' }
  | { readonly kind: 'tls', readonly options: ServerOptions }
  | { readonly kind: 'fault', readonly fault: string }

/**
 * Reads the files that the certificate settings name.
 *
 * @example
 * readCertificates({ certificateFile: '', certificateKeyFile: '' }).kind // 'plain'
 */
export function readCertificates (settings: CertificateSettings): CertificateReading {
  const { certificateFile, certificateKeyFile } = settings
  if (certificateFile === '' && certificateKeyFile === '') return { kind: 'plain' }
  if (certificateFile === '' || certificateKeyFile === '') {
    return { kind: 'fault', fault: 'set both the certificate file and its key file, or neither' }
  }
  try {
    const options = { cert: readFileSync(certificateFile), key: readFileSync(certificateKeyFile), minVersion: 'TLSv1.2' as const }
    return { kind: 'tls', options }
  } catch {
    return { kind: 'fault', fault: `cannot read the certificate files '${certificateFile}' and '${certificateKeyFile}'` }
  }
}
