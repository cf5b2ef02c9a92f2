/** Settings of an agent. */
import { PROCESS_LIMIT_SETTINGS } from '@baobabpost/client-limits'
import {
  AddressListSetting, AddressSetting, integerSetting, LogLevel, Name, SecretListSetting, type SettingValues
} from '@baobabpost/common'
import { Schema } from 'effect'

const OptionalAddressSetting = Schema.Union([AddressSetting, Schema.Literal('')])
const MAXIMUM_MILLISECONDS = 86_400_000

/** Settings that an agent accepts. Addresses are `IP:PORT`; port 0 selects any free port. */
export const agentSettings = {
  name: { schema: Name, about: 'Name of the agent, a part of its identity' },
  listenAddress: { schema: AddressSetting, about: 'IP:PORT to listen on for entries' },
  advertisedAddress: {
    schema: OptionalAddressSetting,
    about: 'IP:PORT at which entries reach the agent, where it differs',
    fallback: ''
  },
  failureDomain: { schema: Name, about: 'Failure domain of the agent' },
  service: { schema: Name, about: 'Service that the upstream provides' },
  slots: { schema: integerSetting(1, 10_000), about: 'Tasks that the upstream runs at once', fallback: '8' },
  connections: { schema: integerSetting(1, 100_000), about: 'Most connections to the upstream', fallback: '60' },
  upstreamAddress: { schema: AddressSetting, about: 'IP:PORT of the upstream' },
  entryAddresses: { schema: AddressListSetting, about: 'IP:PORT of some entries, split by commas' },
  linkKeys: {
    schema: SecretListSetting,
    about: 'Keys of the links, split by commas: the first is sent, all are accepted',
    secret: true
  },
  logLevel: { schema: LogLevel, about: 'error, warn, info or debug', fallback: 'info' },
  metricsAddress: { schema: OptionalAddressSetting, about: 'IP:PORT of the statsd collector', fallback: '' },
  keyWindowMilliseconds: {
    schema: integerSetting(1_000, MAXIMUM_MILLISECONDS),
    about: 'Time for which tasks are remembered, in milliseconds; the same at every process of a fleet',
    fallback: '600000'
  },
  leaseMilliseconds: {
    schema: integerSetting(100, MAXIMUM_MILLISECONDS),
    about: 'Time for which an acknowledged heartbeat allows starts, in milliseconds',
    fallback: '3000'
  },
  clockSkewMilliseconds: {
    schema: integerSetting(0, MAXIMUM_MILLISECONDS),
    about: 'Most by which clocks of the fleet differ, in milliseconds',
    fallback: '2000'
  },
  upstreamIdleMilliseconds: {
    schema: integerSetting(1, MAXIMUM_MILLISECONDS),
    about: 'Time after which an idle connection to the upstream is closed; less than the upstream waits itself',
    fallback: '2000'
  },
  stopTimeoutMilliseconds: {
    schema: integerSetting(0, MAXIMUM_MILLISECONDS),
    about: 'Longest time that a planned stop takes, in milliseconds',
    fallback: '30000'
  },
  ...PROCESS_LIMIT_SETTINGS
} as const

/** Validated settings of an agent. */
export type AgentSettings = SettingValues<typeof agentSettings>
