/** The agent process beside an upstream. */
export type { RunningAgent } from './running-agent.js'
export { agentSettings, type AgentSettings } from './agent-settings.js'
export { startAgent } from './start-agent.js'
export { createUpstreamClient, type UpstreamClient, type UpstreamClientOptions } from './upstream-client.js'
