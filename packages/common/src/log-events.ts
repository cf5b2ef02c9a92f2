/** Every event that the programs of the job path log, in one closed list; `docs/LOGS.md` is written from it. */
import type { LogFields } from './logger.js'

/** Events with what they tell. A line has the fields that the text names, besides time, level, role and VM. */
export const LOG_EVENTS = {
  'job received': 'A caller sent a job: `job`, `route`, `tasks`, `priority`, `estimate` and `patience` in ms, `version` of the configuration',
  'job sent': 'Tasks of a job went to an agent: `job`, `agent`, `tasks`, `patience` in ms, `late`, `heardAgo` in ms, the age of what is known of the agent',
  'job answered': 'Final answer: `job`, `route`, `outcome`, `reason`, `milliseconds`, `objective` in ms',
  'job refused: not supported': 'A job asks for what is not served: `job`, `route`, `option`',
  'task waits again': 'A run ended without being done: `task`, `run`, `reason`, `left` ms to the deadline',
  'no such route': 'A request for a route that is not in force: `host`, `path`, `version`',
  'agent added': 'An agent was heard of: `agent`, `address`',
  'agent found': 'An agent answered for the first time since its start: `agent`, `incarnation`',
  'agent does not answer': 'An agent stopped answering: `agent`, `refused`, `heardAgo` in ms',
  'member found': 'A process of the fleet was heard of: `member`, `memberRole`, `address`',
  'configuration read': 'A configuration arrived: `version`, `before`, `applied`, `source`',
  'configuration skipped: it does not decode': 'An unreadable configuration: `source`',
  'store lost': 'The platform’s store stopped answering: `reason`',
  'store regained': 'The store answers again: `failures`',
  'start got no answer': 'An order or a call to start got no answer: `task` and `run`, or `agent` and `tasks`',
  'stop got no answer': 'A call to stop got no answer: `agent`, `reason`',
  'announcement got no answer': 'An entry did not answer an announcement: `address`, `reason`',
  'peer gave no configuration': 'An entry did not answer for its configuration: `address`, `reason`',
  'this process stood still': 'The loop stood still; what arrived meanwhile is taken in first',
  'run ordered': 'The upstream was told to start a run: `task`, `run`, `entry`, `waited` ms, `free` thousandths of a core left',
  'run ended': 'A run ended at the upstream: `task`, `run`, `entry`, `outcome`, `reason`, `milliseconds`',
  'run stands still': 'A run makes no progress and is stopped: `task`, `run`, `percent`, `milliseconds`',
  'stopping a run that is not in the book': 'The upstream runs what this agent did not start: `task`, `run`, `phase`',
  'entry found': 'An entry called for the first time since its start: `entry`, `incarnation`',
  'fence raised': 'The upstream has seen a higher fence: `fence`, `reason`',
  'upstream found': 'A life of the upstream told of itself: `upstream`, `bornAt`, `service`, `processor`, `labels`',
  'upstream serves': 'Nothing but what is in the book runs at the upstream: `fence`',
  'upstream drains': 'The upstream takes nothing new: `upstream`',
  'upstream left': 'The upstream left for good: `upstream`',
  'upstream life ended': 'All runs of a life of the upstream are over: `reason`',
  'upstream does not answer': 'The lease is no longer renewed: `listings` without an answer',
  'this VM was suspended': 'The upstream’s clock went on while this VM stood still: `milliseconds`',
  'heartbeat skipped: it does not decode': 'An unreadable heartbeat: `path`',
  'entry started': 'The entry listens: `incarnation`, `address`, `milliseconds` since its start',
  'entry stops': 'A planned stop began: `signal`, `jobs`',
  'entry stopped': 'A planned stop ended: `jobs` left',
  'entry stop failed': 'A planned stop failed: `reason`',
  'entry reload': 'The platform asked for a reload: `reason`',
  'agent started': 'The agent listens: `incarnation`, `address`, `milliseconds` since its start',
  'agent stops': 'A planned stop began: `signal`, `runs`',
  'agent stopped': 'A planned stop ended: `runs` left',
  'agent stop failed': 'A planned stop failed: `reason`',
  'agent reload': 'The platform asked for a reload: `reason`',
  'agent failed': 'A defect in the agent: `reason`',
  'call failed': 'A call of another process could not be answered: `reason`',
  'start failed': 'A defect while sending a start: `agent`, `reason`',
  'watch failed': 'A defect while watching an agent: `agent`, `reason`',
  'store reader failed': 'A defect while reading the store: `reason`',
  'log lines dropped': 'Lines were dropped to bound the volume: `ordinary`, `essential`'
} as const satisfies Record<string, string>

/** Name of an event. */
export type LogEvent = keyof typeof LOG_EVENTS

/** Logs events of the closed list; any `Logger` is one. */
export interface EventLogger {
  error: (event: LogEvent, fields?: LogFields) => void
  warn: (event: LogEvent, fields?: LogFields) => void
  info: (event: LogEvent, fields?: LogFields) => void
  debug: (event: LogEvent, fields?: LogFields) => void
}
