/** Things that fall due at a time, in buckets, so that neither adding nor ticking depends on how many there are. */

const BUCKET_MILLISECONDS = 64

/** Things that fall due. */
export interface Timeline<Item> {
  /** Adds an item; it falls due at the given time or up to a bucket later. */
  add: (at: number, item: Item) => void
  /** Takes out the items that are due. */
  takeDue: (now: number) => readonly Item[]
}

/**
 * Makes an empty timeline.
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
      const current = Math.floor(now / BUCKET_MILLISECONDS)
      lastBucket ??= current - 1
      const due: Item[] = []
      const steps = current - lastBucket
      if (steps > buckets.size) {
        for (const bucket of [...buckets.keys()].filter(key => key <= current).sort((left, right) => left - right)) {
          take(bucket, due)
        }
      } else {
        for (let bucket = lastBucket + 1; bucket <= current; bucket += 1) take(bucket, due)
      }
      lastBucket = Math.max(lastBucket, current)
      return due
    }
  }

  function take (bucket: number, due: Item[]): void {
    const items = buckets.get(bucket)
    if (items === undefined) return
    buckets.delete(bucket)
    for (const item of items) due.push(item)
  }
}
