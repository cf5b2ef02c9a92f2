/** Contract of the configuration that is in force at one process. */
import type { CallRequest, JobRequest, JsonRecord, Objective, Policy, Problem, Template } from '@baobabpost/messages'
import type { LogStatus, RegisterChange } from '@baobabpost/platform-log'

/** A request combined with the settings of its template and customer. */
export interface ResolvedRequest {
  readonly template: string
  readonly customer: string
  readonly team: string
  readonly service: string
  readonly path: string
  readonly callType: Template['callType']
  readonly timeoutMilliseconds: number
  /** Run time that the template declares. */
  readonly expectedMilliseconds: number
  /** Defaults of the template, overridden by the customer's parameters; a task's input overrides both. */
  readonly parameters: JsonRecord
  /** Maximum number of tasks that the customer may have waiting at one entry. */
  readonly maximumQueuedTasks: number
}

/** A resolved request, or the reason why it can't be run. */
export type Resolution =
  | { readonly kind: 'resolved', readonly request: ResolvedRequest }
  | { readonly kind: 'problem', readonly problem: Problem }

/** One version of a register, as this process applied it. */
export interface RegisterVersion {
  readonly version: number
  readonly previousVersion: number
  readonly value: unknown
  /** Unix time in milliseconds at which this process applied it. */
  readonly appliedAt: number
}

/** How up to date the configuration of this process is. */
export interface ConfigurationStatus {
  /** Log offset up to which configuration is in force. */
  readonly position: number
  /** Number of records that are on the log and not yet in force. */
  readonly behindRecords: number
  /** Unix time in milliseconds since which this process is not known to be up to date. */
  readonly behindSince: number | undefined
  /** Source of the newest configuration. */
  readonly source: 'log' | 'peer'
}

/** The configuration in force at this process. */
export interface Configuration {
  /** Applies register changes; ignores registers that are not configuration. */
  registersChanged: (changes: readonly RegisterChange[], now: number) => void
  resolveJob: (request: JobRequest) => Resolution
  resolveCall: (request: CallRequest) => Resolution
  /** Returns the policy of that name, or the built-in policy if none was published. */
  policy: (name: string) => Policy
  objectives: () => readonly Objective[]
  /** Returns the last versions of a register that this process applied, newest first. */
  history: (register: string) => readonly RegisterVersion[]
  status: (logStatus: LogStatus) => ConfigurationStatus
}
