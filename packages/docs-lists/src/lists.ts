/** The generated lists of the docs: the page and name of each list, and the function that renders it from the code. */
import { agentSettings } from '@baobabpost/agent'
import { computeBurnReport, renderBurnPage, renderBurnTable } from '@baobabpost/burn-report'
import {
  COMMANDS, EXIT_CODES, LOSS_CAUSES, OperatorCommand, renderExplanation, renderFleet, renderUpstreams
} from '@baobabpost/command-line'
import {
  ERROR_KINDS, errorAnswer, EVENT_METRICS, flagName, LOG_EVENTS, METRICS, variableName, type SettingDefinitions
} from '@baobabpost/common'
import { ENTRY_SETTINGS } from '@baobabpost/entry'
import { standInPlatformSettings } from '@baobabpost/stand-in-platform'
import { standInUpstreamSettings } from '@baobabpost/stand-in-upstream'
import { inlineCode, formatMarkdownTable } from './markdown.js'
import type { Repository } from './repository.js'
import {
  SAMPLE_ENTRY, SAMPLE_EXPLANATION, SAMPLE_FLEET, SAMPLE_OBJECTIVES, SAMPLE_TIME, sampleBuckets
} from './samples.js'

export interface DocsList {
  /** Path of the page, relative to the root of the repository. */
  readonly page: string
  readonly name: string
  readonly render: (repository: Repository) => string
}

const METRIC_NAME_PREFIX = 'baobabpost.'

function renderErrors (): string {
  const rows = ERROR_KINDS.map(kind => {
    const { status, ran, title, next } = errorAnswer(kind)
    return [inlineCode(kind), String(status), ran, title, next]
  })
  return formatMarkdownTable(['kind', 'HTTP status', 'ran', 'meaning', 'what the caller may do next'], rows)
}

function renderMetrics (): string {
  const rows = Object.entries(METRICS).map(([name, { type, about }]) => {
    const unit = name.split('.').at(-1) ?? ''
    return [inlineCode(METRIC_NAME_PREFIX + name), type, unit, about]
  })
  return formatMarkdownTable(['metric', 'type', 'unit', 'meaning'], rows)
}

function renderEventMetrics (): string {
  const rows = Object.entries(EVENT_METRICS).map(([name, { type, about }]) => [inlineCode(name), type, about])
  return formatMarkdownTable(['metric', 'type', 'meaning'], rows)
}

function renderEvents (): string {
  const rows = Object.entries(LOG_EVENTS).map(([event, about]) => [inlineCode(event), about])
  return formatMarkdownTable(['event', 'meaning and fields'], rows)
}

function renderLossCauses (): string {
  return formatMarkdownTable(['cause', 'meaning'], Object.entries(LOSS_CAUSES).map(([cause, about]) => [inlineCode(cause), about]))
}

function renderCommands (): string {
  const rows = Object.entries(COMMANDS).map(([id, command]) => {
    const argumentNames = Object.entries(command.args ?? {}).map(([name, argument]) =>
      argument.required === true ? name.toUpperCase() : `[${name.toUpperCase()}]`)
    const usage = ['baobabpost', ...id.split(':'), ...argumentNames].join(' ')
    const flags = Object.entries(command.flags ?? {}).map(([name, flag]) => `--${name}: ${flag.summary ?? ''}`)
    return [inlineCode(usage), command.summary ?? '', flags.join('; ')]
  })
  return formatMarkdownTable(['command', 'what it does', 'flags of its own'], rows)
}

function renderConnectionFlags (): string {
  const rows = Object.entries(OperatorCommand.baseFlags).map(([name, flag]) =>
    [inlineCode(`--${name}`), inlineCode(flag.env ?? ''), flag.summary ?? ''])
  rows.push([inlineCode('--json'), '', 'print the result, or the error, as JSON'])
  return formatMarkdownTable(['flag', 'variable', 'meaning'], rows)
}

function renderExitCodes (): string {
  return formatMarkdownTable(['code', 'meaning'], Object.values(EXIT_CODES).map(exit => [String(exit.code), exit.about]))
}

function renderSettings (definitions: SettingDefinitions): string {
  const rows = Object.entries(definitions).map(([name, { about, fallback, secret }]) => {
    const defaultText = fallback === undefined ? 'required' : fallback === '' ? 'empty' : inlineCode(fallback)
    return [inlineCode(`--${flagName(name)}`), inlineCode(variableName(name)), secret === true ? `${about} (secret)` : about, defaultText]
  })
  return formatMarkdownTable(['flag', 'variable', 'meaning', 'default'], rows)
}

function renderPackages (repository: Repository): string {
  const rows = repository.packages().map(({ directory, description }) => [inlineCode(directory), description])
  return formatMarkdownTable(['package', 'duty'], rows)
}

function renderPages (repository: Repository): string {
  return repository.pages().map(({ path, title }) => `- [${title}](${path})`).join('\n')
}

const SAMPLE_COLUMNS = 100

function codeBlock (text: string): string {
  return '```\n' + text.trimEnd() + '\n```'
}

function computeSampleBurnReport (): ReturnType<typeof computeBurnReport> {
  return computeBurnReport(
    { objectives: SAMPLE_OBJECTIVES, buckets: sampleBuckets(), liveEntries: [SAMPLE_ENTRY] }, SAMPLE_TIME
  )
}

/** Path of the sample HTML page of the burn report, relative to the root of the repository. */
export const SAMPLE_BURN_PAGE_PATH = 'docs/samples/burn-report.html'

/** Renders the sample HTML page of the burn report. */
export function renderSampleBurnPage (): string {
  return renderBurnPage(computeSampleBurnReport())
}

export const DOCS_LISTS: readonly DocsList[] = [
  { page: 'docs/ERRORS.md', name: 'errors', render: renderErrors },
  { page: 'docs/METRICS.md', name: 'metrics', render: renderMetrics },
  { page: 'docs/METRICS.md', name: 'event-metrics', render: renderEventMetrics },
  { page: 'docs/LOGS.md', name: 'events', render: renderEvents },
  { page: 'docs/SETTINGS.md', name: 'entry-settings', render: () => renderSettings(ENTRY_SETTINGS) },
  { page: 'docs/SETTINGS.md', name: 'agent-settings', render: () => renderSettings(agentSettings) },
  { page: 'docs/SETTINGS.md', name: 'platform-settings', render: () => renderSettings(standInPlatformSettings) },
  { page: 'docs/SETTINGS.md', name: 'upstream-settings', render: () => renderSettings(standInUpstreamSettings) },
  { page: 'docs/COMMANDS.md', name: 'commands', render: renderCommands },
  { page: 'docs/COMMANDS.md', name: 'connection-flags', render: renderConnectionFlags },
  { page: 'docs/COMMANDS.md', name: 'loss-causes', render: renderLossCauses },
  { page: 'docs/COMMANDS.md', name: 'exit-codes', render: renderExitCodes },
  { page: 'docs/ARCHITECTURE.md', name: 'packages', render: renderPackages },
  { page: 'docs/README.md', name: 'pages', render: renderPages },
  {
    page: 'docs/REPORTS.md',
    name: 'burn',
    render: () => codeBlock(renderBurnTable(computeSampleBurnReport(), { columns: SAMPLE_COLUMNS, hasColours: false }))
  },
  { page: 'docs/REPORTS.md', name: 'fleet', render: () => codeBlock(renderFleet(SAMPLE_FLEET, SAMPLE_COLUMNS)) },
  { page: 'docs/REPORTS.md', name: 'upstreams', render: () => codeBlock(renderUpstreams(SAMPLE_FLEET.agents, SAMPLE_COLUMNS)) },
  { page: 'docs/REPORTS.md', name: 'explanation', render: () => codeBlock(renderExplanation(SAMPLE_EXPLANATION, SAMPLE_COLUMNS)) }
]
