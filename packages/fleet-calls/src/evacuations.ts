/** Which failure domains are evacuated, as far as this process knows. */
import { Schema } from 'effect'
import { Count } from './wire-values.js'

/**
 * The evacuated failure domains at a position of the operators' log. They are a function of that position, so of two
 * copies the one with the higher position is newer.
 */
export const EvacuationState = Schema.Struct({
  /** Number of log records that the state takes into account. */
  position: Count,
  domains: Schema.Array(Schema.String)
})
export type EvacuationState = typeof EvacuationState.Type

/** Register of the evacuated failure domains. Methods that change it return whether the domains have changed. */
export interface EvacuationRegister {
  /** Applies the record at an offset of the log, which begins or ends the evacuation of a domain. */
  applyRecord: (domain: string, isEvacuated: boolean, offset: number) => boolean
  /** Applies the record of an evacuated domain on one page of a listing. Only a complete listing ends evacuations. */
  applyListed: (domain: string, offset: number) => boolean
  /** Applies a complete listing of the evacuated domains at a position of the log. */
  applyListing: (domains: readonly string[], position: number) => boolean
  /** Applies that all records up to a position were read; they are applied before. */
  advance: (position: number) => void
  /** Applies the state of another process if it is newer. */
  merge: (state: EvacuationState) => boolean
  /** Returns the state; undefined while no position of the log is known. */
  state: () => EvacuationState | undefined
  isEvacuated: (domain: string) => boolean
}

/**
 * Creates a register that knows nothing yet. Older copies of the state, which may arrive late or from a process that
 * was cut off, change nothing.
 *
 * @example
 * const evacuations = createEvacuationRegister()
 * evacuations.applyListing([], 7)
 * evacuations.applyRecord('dakar-a', true, 7)
 * evacuations.isEvacuated('dakar-a') // true
 */
export function createEvacuationRegister (): EvacuationRegister {
  let position: number | undefined
  let domains: ReadonlySet<string> = new Set()
  /** Offsets of the records on pages of a listing that is not complete, by domain; none is before `position`. */
  const listedOffsets = new Map<string, number>()

  function evacuatedDomains (): Set<string> {
    return new Set([...domains, ...listedOffsets.keys()])
  }

  /** Makes a change, and returns whether it has changed the evacuated domains. */
  function change (apply: () => void): boolean {
    const before = evacuatedDomains()
    apply()
    const after = evacuatedDomains()
    return after.size !== before.size || [...after].some(domain => !before.has(domain))
  }

  function advance (reached: number): void {
    position = Math.max(position ?? 0, reached)
    for (const [domain, offset] of listedOffsets) if (offset < position) listedOffsets.delete(domain)
  }

  function applyRecord (domain: string, isEvacuated: boolean, offset: number): boolean {
    if (position === undefined || offset < position) return false
    return change(() => {
      advance(offset + 1)
      listedOffsets.delete(domain)
      const changed = new Set(domains)
      if (isEvacuated) changed.add(domain)
      else changed.delete(domain)
      domains = changed
    })
  }

  return {
    applyRecord,
    applyListed: (domain, offset) => {
      if (offset < (position ?? 0)) return false
      return change(() => { listedOffsets.set(domain, offset) })
    },
    applyListing: (listed, listedPosition) => {
      if (listedPosition < (position ?? 0)) return false
      return change(() => {
        listedOffsets.clear()
        domains = new Set(listed)
        advance(listedPosition)
      })
    },
    advance: reached => { if (position !== undefined) advance(reached) },
    merge: state => {
      if (state.position <= (position ?? -1)) return false
      return change(() => {
        domains = new Set(state.domains)
        advance(state.position)
      })
    },
    state: () => position === undefined ? undefined : { position, domains: [...evacuatedDomains()].sort() },
    isEvacuated: domain => domains.has(domain) || listedOffsets.has(domain)
  }
}
