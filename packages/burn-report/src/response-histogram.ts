/** Histograms of response times that merge without loss, by hdr-histogram-js. */
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import type { ResponseSummary } from '@baobabpost/messages'

/** Longest response time that is told apart, in milliseconds; longer ones count as this. */
export const MAXIMUM_RESPONSE_MILLISECONDS = 3_600_000

/** Makes an empty histogram of milliseconds with two significant digits. */
export function createResponseHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_RESPONSE_MILLISECONDS,
    numberOfSignificantValueDigits: 2
  })
}

/** Notes one response time. */
export function recordResponse (histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(MAXIMUM_RESPONSE_MILLISECONDS, Math.max(1, Math.round(milliseconds))))
}

/** Merges encoded histograms; parts that do not decode are left out. */
export function mergeHistograms (parts: Iterable<string>): Histogram {
  const merged = createResponseHistogram()
  for (const part of parts) {
    try {
      merged.add(decodeFromCompressedBase64(part, 32, false))
    } catch {
      continue
    }
  }
  return merged
}

/** Writes a histogram as text, or nothing if it is empty. */
export function encodeHistogram (histogram: Histogram): string | undefined {
  return histogram.totalCount === 0 ? undefined : encodeIntoCompressedBase64(histogram)
}

/** Summarizes a histogram, or nothing if it is empty. */
export function summarizeResponses (histogram: Histogram): ResponseSummary | undefined {
  if (histogram.totalCount === 0) return undefined
  return {
    count: histogram.totalCount,
    p50Milliseconds: histogram.getValueAtPercentile(50),
    p90Milliseconds: histogram.getValueAtPercentile(90),
    p99Milliseconds: histogram.getValueAtPercentile(99),
    maximumMilliseconds: histogram.maxValue
  }
}
