import { describe, expect, it } from 'vitest'
import { createRouteTable, type Route, type RouteConfiguration } from '@baobabpost/dispatching'

function route (name: string, pathPrefix: string): Route {
  return {
    name,
    host: 'desk.example',
    pathPrefix,
    service: 'desk',
    priority: 0,
    maximumAttempts: 2,
    stretch: 1.6,
    targetLatencyMilliseconds: 60,
    timeoutMilliseconds: 1_500,
    unsupported: undefined
  }
}

function configuration (version: number, routes: Route[]): RouteConfiguration {
  return { version, routes, maximumBodyBytes: 1_000 }
}

describe('route table', () => {
  it('keeps its routes when an older version is applied', () => {
    const table = createRouteTable()
    expect(table.apply(configuration(7, [route('new', '/a/')]))).toBe(true)
    expect(table.apply(configuration(5, [route('old', '/a/'), route('dropped', '/b/')]))).toBe(false)
    expect(table.version()).toBe(7)
    expect(table.match('desk.example', '/a/1')?.name).toBe('new')
    expect(table.match('desk.example', '/b/1')).toBeUndefined()
  })

  it('removes routes that a newer version does not contain', () => {
    const table = createRouteTable()
    table.apply(configuration(1, [route('kept', '/a/'), route('dropped', '/b/')]))
    table.apply(configuration(4, [route('kept', '/a/')]))
    expect(table.match('desk.example', '/b/1')).toBeUndefined()
  })

  it('matches by host and by the longest path prefix', () => {
    const table = createRouteTable()
    table.apply(configuration(1, [route('short', '/a/'), route('long', '/a/b/')]))
    expect(table.match('desk.example', '/a/b/1')?.name).toBe('long')
    expect(table.match('desk.example', '/a/1')?.name).toBe('short')
    expect(table.match('other.example', '/a/1')).toBeUndefined()
  })
})
