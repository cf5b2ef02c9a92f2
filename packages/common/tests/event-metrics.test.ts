import { describe, expect, it } from 'vitest'
import { createEventLogger, createEventMetrics, EVENT_METRICS, type LineSink } from '@baobabpost/common'

describe('event metrics', () => {
  it('count events and time answers, and serve every metric of the list', async () => {
    const metrics = createEventMetrics({ countOpen: () => 3, countDroppedLines: () => 0 })
    metrics.observe('job answered', { outcome: 'completed', milliseconds: 84 })
    metrics.observe('run ended', { outcome: 'lapsed', milliseconds: 640 })
    const text = await metrics.toPrometheusText()
    for (const name of Object.keys(EVENT_METRICS)) expect(text).toContain(`# HELP ${name} `)
    expect(text).toContain('baobabpost_events_total{event="job answered",outcome="completed"} 1')
    expect(text).toContain('baobabpost_job_response_seconds_bucket{le="0.1",outcome="completed"} 1')
    expect(text).toContain('baobabpost_open 3')
  })
})

describe('an event logger', () => {
  it('tells lines of failed and slow requests from ordinary ones', () => {
    const taken: Array<[string, boolean]> = []
    const sink: LineSink = {
      take: (line, essential) => { taken.push([(JSON.parse(line) as { message: string }).message, essential]) },
      dropped: () => ({ ordinary: 0, essential: 0 }),
      drain: () => Promise.resolve()
    }
    const metrics = createEventMetrics({ countOpen: () => 0, countDroppedLines: () => 0 })
    const logger = createEventLogger({ fields: { role: 'entry' }, sink, metrics })
    logger.info('job answered', { job: 'a', outcome: 'completed', milliseconds: 80, objective: 200 })
    logger.info('job answered', { job: 'b', outcome: 'completed', milliseconds: 280, objective: 200 })
    logger.info('job answered', { job: 'c', outcome: 'refused', milliseconds: 20, objective: 200 })
    logger.info('upstream drains', { upstream: 'u' })
    expect(taken).toEqual([
      ['job answered', false], ['job answered', true], ['job answered', true], ['upstream drains', true]
    ])
  })
})
