/** A binary heap whose items know their place, so that any of them can be moved or removed in O(log n). */

/** An item of a heap; the heap alone changes `position`. */
export interface HeapItem {
  /** Place in the heap, or -1 outside. */
  position: number
}

/** A heap of items. */
export interface IndexedHeap<Item extends HeapItem> {
  add: (item: Item) => void
  remove: (item: Item) => void
  first: () => Item | undefined
  /** Finds the new place of an item whose order changed. */
  moved: (item: Item) => void
}

/**
 * Makes an empty heap.
 *
 * @param goesBefore - Whether the left item goes before the right one.
 * @example
 * const heap = createIndexedHeap<Timer>((left, right) => left.time < right.time)
 */
export function createIndexedHeap<Item extends HeapItem> (
  goesBefore: (left: Item, right: Item) => boolean
): IndexedHeap<Item> {
  const items: Item[] = []

  function place (item: Item, position: number): void {
    items[position] = item
    item.position = position
  }

  function siftUp (item: Item): void {
    let position = item.position
    while (position > 0) {
      const parentPosition = (position - 1) >> 1
      const parent = items[parentPosition]!
      if (!goesBefore(item, parent)) break
      place(parent, position)
      position = parentPosition
    }
    place(item, position)
  }

  function siftDown (item: Item): void {
    let position = item.position
    for (;;) {
      let childPosition = 2 * position + 1
      if (childPosition >= items.length) break
      const right = items[childPosition + 1]
      if (right !== undefined && goesBefore(right, items[childPosition]!)) childPosition += 1
      const child = items[childPosition]!
      if (!goesBefore(child, item)) break
      place(child, position)
      position = childPosition
    }
    place(item, position)
  }

  function reposition (item: Item): void {
    siftUp(item)
    siftDown(item)
  }

  return {
    add: item => {
      item.position = items.length
      items.push(item)
      siftUp(item)
    },
    remove: item => {
      if (item.position < 0) return
      const position = item.position
      const last = items.pop()!
      item.position = -1
      if (last === item) return
      place(last, position)
      reposition(last)
    },
    first: () => items[0],
    moved: reposition
  }
}
