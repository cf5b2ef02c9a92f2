/** Timers in buckets by due time, so that the cost of adding and ticking does not depend on the number of items. */

const BUCKET_MILLISECONDS = 64

export interface Timeline<Item> {
  /** Adds an item that is due at the given time or up to one bucket length later. */
  add: (at: number, item: Item) => void
  /** Removes and returns the items that are due. */
  takeDue: (now: number) => readonly Item[]
}

/**
 * Creates an empty timeline.
 *
 * @example
 * timeline.add(now + 2_000, { kind: 'resend', job })
 */
export function createTimeline<Item> (): Timeline<Item> {
  const buckets = new Map<number, Item[]>()
  let lastBucket: number | undefined

  return {
    add (at, item) {
      const bucket = Math.max(Math.ceil(at / BUCKET_MILLISECONDS), (lastBucket ?? -Infinity) + 1)
      const items = buckets.get(bucket)
      if (items === undefined) buckets.set(bucket, [item])
      else items.push(item)
    },
    takeDue (now) {
      const currentBucket = Math.floor(now / BUCKET_MILLISECONDS)
      lastBucket ??= currentBucket - 1
      const due: Item[] = []
      const elapsedBuckets = currentBucket - lastBucket
      if (elapsedBuckets > buckets.size) {
        for (const bucket of [...buckets.keys()].filter(key => key <= currentBucket)
          .sort((left, right) => left - right)) {
          removeBucket(bucket, due)
        }
      } else {
        for (let bucket = lastBucket + 1; bucket <= currentBucket; bucket += 1) removeBucket(bucket, due)
      }
      lastBucket = Math.max(lastBucket, currentBucket)
      return due
    }
  }

  function removeBucket (bucket: number, due: Item[]): void {
    const items = buckets.get(bucket)
    if (items === undefined) return
    buckets.delete(bucket)
    for (const item of items) due.push(item)
  }
}
