/** TLS from certificate settings, by Node's own modules. */
import { readFileSync } from 'node:fs'
import { createServer, type RequestListener, type Server } from 'node:http'
import { createServer as createSecureServer, type Server as SecureServer, type ServerOptions } from 'node:https'

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

/**
 * Makes the server that the certificate settings ask for.
 *
 * @example
 * const server = createCallerServer(reading, { requestTimeout: 10_000 }, (request, response) => response.end())
 */
export function createCallerServer (
  reading: Exclude<CertificateReading, { kind: 'fault' }>,
  options: ServerOptions,
  listener: RequestListener
): Server | SecureServer {
  if (reading.kind === 'tls') return createSecureServer({ ...options, ...reading.options }, listener)
  return createServer(options, listener)
}
