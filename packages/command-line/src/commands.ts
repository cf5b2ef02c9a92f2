/** Commands of the command line. oclif loads `COMMANDS` from this module; `docs/COMMANDS.md` lists them. */
import type { Command } from '@oclif/core'
import { Call } from './commands/call.js'
import { ConfigurationDiff } from './commands/configuration-diff.js'
import { ConfigurationHistory } from './commands/configuration-history.js'
import { ConfigurationPublish } from './commands/configuration-publish.js'
import { ConfigurationStatus } from './commands/configuration-status.js'
import { DomainEvacuate } from './commands/domain-evacuate.js'
import { DomainList } from './commands/domain-list.js'
import { DomainRestore } from './commands/domain-restore.js'
import { FleetStatus } from './commands/fleet-status.js'
import { JobCancel } from './commands/job-cancel.js'
import { JobExplain } from './commands/job-explain.js'
import { JobShow } from './commands/job-show.js'
import { JobSubmit } from './commands/job-submit.js'
import { ReportBurn } from './commands/report-burn.js'
import { ReportLoss } from './commands/report-loss.js'
import { TemplateList } from './commands/template-list.js'
import { TemplatePublish } from './commands/template-publish.js'
import { TemplateShow } from './commands/template-show.js'
import { UpstreamDrain } from './commands/upstream-drain.js'
import { UpstreamList } from './commands/upstream-list.js'

/** Commands by id; `:` in an id separates topic and command, which are separated by a space on the command line. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  'template:publish': TemplatePublish,
  'template:list': TemplateList,
  'template:show': TemplateShow,
  'configuration:publish': ConfigurationPublish,
  'configuration:history': ConfigurationHistory,
  'configuration:diff': ConfigurationDiff,
  'configuration:status': ConfigurationStatus,
  'job:submit': JobSubmit,
  'job:show': JobShow,
  'job:cancel': JobCancel,
  'job:explain': JobExplain,
  call: Call,
  'upstream:list': UpstreamList,
  'upstream:drain': UpstreamDrain,
  'domain:evacuate': DomainEvacuate,
  'domain:restore': DomainRestore,
  'domain:list': DomainList,
  'fleet:status': FleetStatus,
  'report:burn': ReportBurn,
  'report:loss': ReportLoss
}
