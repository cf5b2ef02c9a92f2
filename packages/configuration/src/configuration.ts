/** Contract of the configuration in force at one process. */
import type { CallRequest, JobRequest, JsonRecord, Objective, Policy, Problem, Template } from '@baobabpost/messages'
import type { LogStatus, RegisterChange } from '@baobabpost/platform-log'

/** A request with all that its template, customer and team bring in. */
export interface ResolvedRequest {
  readonly template: string
  readonly customer: string
  readonly team: string
  readonly service: string
  readonly path: string
  readonly callType: Template['callType']
  readonly timeoutMilliseconds: number
  /** Declared run time. */
  readonly expectedMilliseconds: number
  /** Defaults of the template with the customer's parameters over them; a task's input goes over these. */
  readonly parameters: JsonRecord
  /** Most tasks that the customer may have waiting at one entry. */
  readonly maximumQueuedTasks: number
}

/** A request resolved, or why it can't be run. */
export type Resolution =
  | { readonly kind: 'resolved', readonly request: ResolvedRequest }
  | { readonly kind: 'problem', readonly problem: Problem }

/** One version of a register, as seen by this process. */
export interface RegisterVersion {
  readonly version: number
  readonly previousVersion: number
  readonly value: unknown
  /** Unix time in milliseconds at which this process applied it. */
  readonly appliedAt: number
}

/** Which configuration is in force here. */
export interface ConfigurationStatus {
  /** Offset up to which configuration is in force. */
  readonly position: number
  /** Records known to be on the log and not yet in force. */
  readonly behindRecords: number
  /** Since when this process can't tell that it is up to date, Unix milliseconds. */
  readonly behindSince: number | undefined
  /** Where the newest configuration came from. */
  readonly source: 'log' | 'peer'
}

/** The configuration in force at this process. */
export interface Configuration {
  /** Takes in changes of registers; others than configuration are passed over. */
  registersChanged: (changes: readonly RegisterChange[], now: number) => void
  resolveJob: (request: JobRequest) => Resolution
  resolveCall: (request: CallRequest) => Resolution
  /** The policy of that name; the built-in one where it was not published. */
  policy: (name: string) => Policy
  objectives: () => readonly Objective[]
  /** The last versions of a register that this process applied, newest first. */
  history: (register: string) => readonly RegisterVersion[]
  status: (standing: LogStatus) => ConfigurationStatus
}
