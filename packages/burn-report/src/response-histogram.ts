/** Histograms of response times, from hdr-histogram-js, which merge without loss. */
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import type { ResponseSummary } from '@baobabpost/messages'

/** Longest response time that a histogram records; longer ones are recorded as this value. */
export const MAXIMUM_RESPONSE_MILLISECONDS = 3_600_000

/** Creates an empty histogram of milliseconds with two significant digits. */
export function createResponseHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_RESPONSE_MILLISECONDS,
    numberOfSignificantValueDigits: 2
  })
}

export function recordResponse (histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(MAXIMUM_RESPONSE_MILLISECONDS, Math.max(1, Math.round(milliseconds))))
}

/** Merges encoded histograms and ignores those that do not decode. */
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

/** Encodes a histogram in compressed base64; returns `undefined` if it is empty. */
export function encodeHistogram (histogram: Histogram): string | undefined {
  return histogram.totalCount === 0 ? undefined : encodeIntoCompressedBase64(histogram)
}

/** Returns the percentiles of a histogram, or `undefined` if it is empty. */
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
