/** Binary heap whose items store their positions, so that any item can be repositioned or removed in O(log n). */

/** Item of a heap; only the heap writes `position`. */
export interface HeapItem {
  /** Position in the heap, or -1 if the item is not in it. */
  position: number
}

export interface IndexedHeap<Item extends HeapItem> {
  add: (item: Item) => void
  /** Removes an item; an item that is not in the heap is ignored. */
  remove: (item: Item) => void
  /** Returns the item that sorts before all others, without removing it. */
  first: () => Item | undefined
  /** Restores the heap order after the sort key of an item changed. */
  reposition: (item: Item) => void
}

/**
 * Creates an empty heap.
 *
 * @param isBefore - Returns whether the left item sorts before the right one.
 * @example
 * const heap = createIndexedHeap<Timer>((left, right) => left.time < right.time)
 */
export function createIndexedHeap<Item extends HeapItem> (
  isBefore: (left: Item, right: Item) => boolean
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
      if (!isBefore(item, parent)) break
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
      if (right !== undefined && isBefore(right, items[childPosition]!)) childPosition += 1
      const child = items[childPosition]!
      if (!isBefore(child, item)) break
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
    reposition
  }
}
