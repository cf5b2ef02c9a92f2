/** Settings of an entry. */
import { PROCESS_LIMIT_SETTINGS } from '@baobabpost/client-limits'
import {
  AddressListSetting, AddressSetting, integerSetting, LogLevel, Name, SecretListSetting, type SettingValues
} from '@baobabpost/common'
import { Schema } from 'effect'

const OptionalAddress = Schema.Union([Schema.Literal(''), AddressSetting])
const Milliseconds = integerSetting(1, 86_400_000)

/** Every setting of an entry; `docs/SETTINGS.md` lists them. */
export const ENTRY_SETTINGS = {
  name: { schema: Name, about: 'Name of this entry in the fleet' },
  failureDomain: { schema: Name, about: 'Failure domain of this VM' },
  listenAddress: { schema: AddressSetting, about: 'IP:PORT for callers and operators', fallback: '127.0.0.1:8080' },
  linkAddress: { schema: AddressSetting, about: 'IP:PORT for the other processes', fallback: '127.0.0.1:7001' },
  advertisedLinkAddress: {
    schema: OptionalAddress, about: 'IP:PORT at which others reach the link; where it listens if empty', fallback: ''
  },
  platformLogAddress: { schema: AddressSetting, about: "IP:PORT of the platform's log" },
  peerAddresses: {
    schema: AddressListSetting, about: 'Link addresses of other entries, for a start while the log is down', fallback: ''
  },
  linkKeys: {
    schema: SecretListSetting, about: 'Shared keys of the links: the first signs, all are accepted', secret: true
  },
  accessKeys: {
    schema: Schema.String, about: 'Keys as ROLE:SUBJECT:SECRET, split by commas', fallback: '', secret: true
  },
  accessKeyFile: { schema: Schema.String, about: 'File of keys, one a line; read again when it changes', fallback: '' },
  certificateFile: { schema: Schema.String, about: 'Certificate for TLS towards callers; plain if empty', fallback: '' },
  certificateKeyFile: { schema: Schema.String, about: 'Key of the certificate', fallback: '' },
  logLevel: { schema: LogLevel, about: 'Least severe level that is logged', fallback: 'info' },
  metricsAddress: { schema: OptionalAddress, about: 'IP:PORT of the statsd collector; none if empty', fallback: '' },
  policy: { schema: Name, about: 'Name of the published policy that this deployment follows', fallback: 'default' },
  keyWindowMilliseconds: {
    schema: Milliseconds, about: 'Time for which a submission key is remembered', fallback: '600000'
  },
  clockSkewMilliseconds: {
    schema: Milliseconds, about: 'Greatest difference between two clocks of the fleet', fallback: '2000'
  },
  logRetentionMilliseconds: {
    schema: integerSetting(1_000, Number.MAX_SAFE_INTEGER), about: "Retention of the platform's log", fallback: '86400000'
  },
  maximumQueuedTasks: { schema: integerSetting(1, 10_000_000), about: 'Most tasks that wait here', fallback: '200000' },
  stopTimeoutMilliseconds: {
    schema: Milliseconds, about: 'Longest time that a planned stop waits for work in flight', fallback: '60000'
  },
  ...PROCESS_LIMIT_SETTINGS
} as const

/** Validated values of the settings of an entry. */
export type EntrySettings = SettingValues<typeof ENTRY_SETTINGS>
