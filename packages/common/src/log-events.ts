/** Closed list of the events that entries and agents log on the job path; `docs/LOGS.md` is generated from it. */
import type { LogFields } from './logger.js'

/** Events with their meaning and the fields of their log lines, besides time, level, role and VM. */
export const LOG_EVENTS = {
  'job received': 'A caller sent a job: `job`, `route`, `tasks`, `priority`, `estimate` and `patience` (maximum wait) in ms, `version` of the configuration',
  'job sent': 'Tasks of a job were sent to an agent: `job`, `agent`, `tasks`, `patience` (maximum wait) in ms, `late` if the job is past its objective, `heardAgo` in ms since the last contact with the agent',
  'job answered': 'A job got its final answer: `job`, `route`, `outcome`, `reason`, `milliseconds`, `objective` in ms',
  'job refused: not supported': 'A job requires an option that is not supported: `job`, `route`, `option`',
  'job refused: no capacity': 'A job does not fit within its objective by what is queued, and none of its tasks has started: `job`, `route`, `tasks`, `excess` (expected wait beyond the latest start) and `retryAfter` in ms, number of callers `promised` a later start',
  'tasks released': 'A task of a job found no capacity in time; the tasks of the job that have not started are taken back: `job`, number of `agents` and `tasks`',
  'admission limited': 'The entry is overloaded and refuses jobs above a rate: `loopDelay` and `callDelay` (of its own work and of its calls) in ms, `jobsPerSecond`',
  'admission not limited any more': 'The entry accepts all jobs again: `loopDelay` and `callDelay` in ms',
  'task waits again': 'A run ended without completing its task, which is queued again: `task`, `run`, `reason`, `left` ms to the deadline, number of runs `lost` with their upstream so far',
  'no such route': 'A request matches no route of the configuration: `host`, `path`, `version` of the configuration',
  'agent added': 'An agent became known: `agent`, `address`',
  'agent found': 'An agent answered for the first time since it started: `agent`, `incarnation`',
  'agent does not answer': 'An agent stopped answering: `agent`, `refused` if it refused the connection, `heardAgo` in ms since the last contact',
  'member found': 'A process of the fleet became known, or its address changed: `member`, `memberRole`, `address`',
  'configuration read': 'A configuration was read: `version`, `before` (the previous version), `applied`, `source`',
  'configuration skipped: it does not decode': 'A configuration could not be decoded: `source`',
  'evacuations changed': 'Other failure domains are evacuated than before: `domains`, `position` in the operators’ log, `source` (the store, or the name or address of a process), runs `returned` from the queue of the agent',
  'evacuation skipped: it does not decode': 'An operator’s record of an evacuation could not be decoded: `domain`, `value`',
  'evacuation of an unknown failure domain': 'No VM of the settings is in the failure domain of an evacuation: `domain`',
  'evacuations not told': 'An agent did not answer a call that tells the evacuated failure domains; it is called again: `agent`, `reason`',
  'store lost': 'The platform’s store stopped answering: `reason`',
  'store regained': 'The store answers again: number of `failures`',
  'start got no answer': 'A start request to the upstream (`task`, `run`) or to an agent (`agent`, number of `tasks`) got no answer',
  'stop got no answer': 'A stop request to an agent got no answer: `agent`, `reason`',
  'announcement got no answer': 'An entry did not answer an announcement: `address`, `reason`',
  'peer gave no configuration': 'An entry did not answer a request for its configuration: `address`, `reason`',
  'this process stood still': 'The process was paused; messages that arrived during the pause are handled first',
  'run ordered': 'The agent ordered the upstream to start a run: `task`, `run`, `entry`, `waited` ms in the queue of the agent, `free` thousandths of a core left',
  'start repeated': 'The agent sends another start order for a run that has not started: `task`, `run` (its number at the upstream), `attempt`, `reason` why the last order failed, `milliseconds` since that order',
  'run ended': 'A run ended at the upstream: `task`, `run`, `entry`, `outcome`, `reason`, `milliseconds`',
  'run times learned': 'The run times of the upstream differ a lot from those logged before: `fixed` part in ms, `factor` on the expected work, `spread` and `tail` (84 and 95 of 100 runs are at most that share longer), number of `runs`, `source` (its runs, or the entry that remembered them)',
  'estimate factor learned': 'The callers’ estimates on a route are off by another factor than logged before: `route`, `factor`, `spread` of the run times, number of `runs`',
  'upstream slows down': 'Most of the runs at the upstream are late by their time or their progress: `pace` (time over expected time), number of `runs`',
  'upstream is in time again': 'Most of the runs at the upstream are in time again: number of `runs`',
  'share of an upstream': 'An agent gets less work than its capacity allows, or more again: `agent`, `share` (0 to 1), `failureShare`, `pace`, `silence` (ms since it answered again; 0 without one)',
  'run stands still': 'A run is stopped because it stalled: `task`, `run`, `percent`, `milliseconds` without progress',
  'stopping a run that is not in the book': 'The upstream runs a task that is not in the run registry of the agent: `task`, `run`, `phase`',
  'entry found': 'An entry called for the first time since it started: `entry`, `incarnation`',
  'fence raised': 'The upstream rejected a fencing token as too old, and the agent raised it: `fence`, `reason`',
  'upstream found': 'The first heartbeat of an upstream instance arrived: `upstream`, `bornAt`, `service`, `processor`, `labels`',
  'upstream connection opened': 'The agent opened connections to its upstream; at most one line a second: `address`, `reason` (first, others in use, or why the one before was closed), number of `open` ones besides it, number `opened` since the last line',
  'upstream serves': 'The upstream has no unknown runs and can get new ones: `fence` (the fencing token)',
  'upstream drains': 'The upstream accepts no new runs: `upstream`, `bornAt`, `sequence` of the heartbeat',
  'upstream is cold': 'A heartbeat says that runs take longer for a while, so new runs get a share of the capacity that rises: `upstream`, `bornAt`, `remaining` ms',
  'upstream is warm': 'The upstream gets new runs for its whole capacity again: `upstream`',
  'heartbeat skipped: out of date': 'A heartbeat came after a later one, or after a later start of the upstream: `upstream`, `bornAt` and `sequence` of the heartbeat, `knownBornAt` and `knownSequence` of the later one, `draining`',
  'upstream left': 'The upstream deregistered: `upstream`',
  'upstream life ended': 'An instance of the upstream ended, and all of its runs with it: `reason`, `upstream`, `bornAt`, whether it was `leaving`, number of `runs` there, the `last` ordered ones of them as TASK@AGE in ms',
  'upstream does not answer': 'The upstream did not answer several list requests in a row, and its lease is no longer renewed: number of `listings`',
  'this VM was suspended': 'The clock of the upstream advanced while this VM was suspended: `milliseconds`',
  'heartbeat skipped: it does not decode': 'A heartbeat could not be decoded: `path`',
  'entry started': 'The entry listens: `incarnation`, `address`, `milliseconds` since the process started',
  'entry stops': 'A graceful shutdown began: `signal`, `jobs` open',
  'entry stopped': 'A graceful shutdown ended: `jobs` still open',
  'entry stop failed': 'A graceful shutdown failed: `reason`',
  'entry reload': 'The platform asked for a reload: `reason`',
  'agent started': 'The agent listens: `incarnation`, `address`, `milliseconds` since the process started',
  'agent stops': 'A graceful shutdown began: `signal`, `runs` open',
  'agent stopped': 'A graceful shutdown ended: `runs` still open',
  'agent stop failed': 'A graceful shutdown failed: `reason`',
  'agent reload': 'The platform asked for a reload: `reason`',
  'agent failed': 'Internal error of the agent: `reason`',
  'entry failed': 'Internal error of the entry: `reason`',
  'message failed': 'An unexpected error while a message was handled, which was answered as failed: `path`, `reason`',
  'server failed': 'A listening socket reported an error and still listens: `address`, `reason`',
  'call failed': 'A call from another process could not be answered: `reason`',
  'call connection closed': 'A connection between two processes was closed because of a fault, and its calls failed: `address` of the other end, `reason`',
  'start failed': 'Internal error while sending a start request: `agent`, `reason`',
  'watch failed': 'Internal error while watching an agent: `agent`, `reason`',
  'store reader failed': 'Internal error while reading the store: `reason`',
  'log lines dropped': 'Log lines were dropped to bound the volume: numbers of `ordinary` and `essential` lines since the start'
} as const satisfies Record<string, string>

export type LogEvent = keyof typeof LOG_EVENTS

/** Logger that accepts only events of the closed list; every `Logger` satisfies it. */
export interface EventLogger {
  error: (event: LogEvent, fields?: LogFields) => void
  warn: (event: LogEvent, fields?: LogFields) => void
  info: (event: LogEvent, fields?: LogFields) => void
  debug: (event: LogEvent, fields?: LogFields) => void
}
