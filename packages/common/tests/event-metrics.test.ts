import { describe, expect, it } from 'vitest'
import { createEventLogger, createEventMetrics, EVENT_METRICS, type EvacuationReadings, type LineSink } from '@baobabpost/common'

describe('event metrics', () => {
  it('count events, record durations, and include every metric of the list in the text', async () => {
    const metrics = createEventMetrics({
      countOpen: () => 3,
      countDroppedLines: () => 0,
      offeredShare: () => 0.125,
      evacuations: () => ({ domainCount: 1, position: 7, ageMilliseconds: 1_500 }),
      clients: () => ({ connections: 5, bytes: 90_000, maximumConnections: 3_315, maximumBytes: 91_750_400 })
    })
    metrics.observe('clients closed', { server: 'callers', reason: 'bytes', clients: 4, largest: 262_144 })
    metrics.observe('job answered', { outcome: 'completed', milliseconds: 84 })
    metrics.observe('run ended', { outcome: 'lapsed', milliseconds: 640 })
    const text = await metrics.toPrometheusText()
    for (const name of Object.keys(EVENT_METRICS)) expect(text).toContain(`# HELP ${name} `)
    expect(text).toContain('baobabpost_events_total{event="job answered",outcome="completed"} 1')
    expect(text).toContain('baobabpost_job_response_seconds_bucket{le="0.1",outcome="completed"} 1')
    expect(text).toContain('baobabpost_open 3')
    expect(text).toContain('baobabpost_offered_share 0.125')
    expect(text).toContain('baobabpost_evacuated_domains 1')
    expect(text).toContain('baobabpost_evacuations_position 7')
    expect(text).toContain('baobabpost_evacuations_age_seconds 1.5')
    expect(text).toContain('baobabpost_client_connections 5')
    expect(text).toContain('baobabpost_client_connections_limit 3315')
    expect(text).toContain('baobabpost_client_bytes 90000')
    expect(text).toContain('baobabpost_client_bytes_limit 91750400')
    expect(text).toContain('baobabpost_clients_closed_total{server="callers",reason="bytes"} 4')
  })

  // A 0 would say that no domain is evacuated, which a process that knows nothing can't tell.
  it('show no evacuations while nothing is known of them, and add up the runs that were given back', async () => {
    let known: EvacuationReadings | undefined
    const metrics = createEventMetrics({ countOpen: () => 0, countDroppedLines: () => 0, evacuations: () => known })
    expect(await metrics.toPrometheusText()).not.toMatch(/^baobabpost_evacuat(ed_domains|ions_position) /m)
    known = { domainCount: 0, position: 7, ageMilliseconds: 0 }
    expect(await metrics.toPrometheusText()).toContain('baobabpost_evacuated_domains 0')
    known = undefined
    expect(await metrics.toPrometheusText()).not.toMatch(/^baobabpost_evacuat(ed_domains|ions_position) /m)
    for (const returned of [3, 2]) metrics.observe('evacuations changed', { domains: 'a', position: 8, returned })
    expect(await metrics.toPrometheusText()).toContain('baobabpost_evacuation_returned_runs_total 5')
  })
})

describe('an event logger', () => {
  it('marks lines of failed jobs, late jobs and changes as essential', () => {
    const writtenLines: Array<[string, boolean]> = []
    const sink: LineSink = {
      write: (line, essential) => { writtenLines.push([(JSON.parse(line) as { message: string }).message, essential]) },
      dropped: () => ({ ordinary: 0, essential: 0 }),
      drain: () => Promise.resolve()
    }
    const metrics = createEventMetrics({ countOpen: () => 0, countDroppedLines: () => 0 })
    const logger = createEventLogger({ fields: { role: 'entry' }, sink, metrics })
    logger.info('job answered', { job: 'a', outcome: 'completed', milliseconds: 80, objective: 200 })
    logger.info('job answered', { job: 'b', outcome: 'completed', milliseconds: 280, objective: 200 })
    logger.info('job answered', { job: 'c', outcome: 'refused', milliseconds: 20, objective: 200 })
    logger.info('upstream drains', { upstream: 'u' })
    expect(writtenLines).toEqual([
      ['job answered', false], ['job answered', true], ['job answered', true], ['upstream drains', true]
    ])
  })
})
