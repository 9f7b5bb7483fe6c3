// Package prioritiser provides a bucket queue: a priority queue for small integer levels. It finds
// the items of the lowest level without a scan of all items.
package prioritiser

// maxLevel is the highest level. Higher levels are stored as maxLevel.
const maxLevel = 2047

// Position is the position of an item in a BucketQueue. Items embed it. The zero value means that
// the item is in no BucketQueue. An item is in at most one BucketQueue at a time.
type Position struct {
	// owner is the BucketQueue that contains the item, or nil.
	owner        remover
	level, index int
}

type remover interface{ removeAt(p *Position) }

// GetPosition returns the position. It lets types that embed Position implement Item.
func (p *Position) GetPosition() *Position { return p }

// Level returns the level at which the item is stored, or 0 if it is in no BucketQueue.
func (p *Position) Level() int { return p.level }

// Item is implemented by pointers to types that embed Position.
type Item interface {
	comparable
	GetPosition() *Position
}

// BucketQueue is a priority queue with one bucket for each level. The zero value is empty. It is not
// safe for concurrent use.
type BucketQueue[T Item] struct {
	buckets [][]T
	count   int
	// lowest is a lower bound of the levels that contain an item.
	lowest int
}

// Len returns the number of items.
func (q *BucketQueue[T]) Len() int { return q.count }

// Put adds an item at a level. If the item is at another level or in another BucketQueue, it is
// moved. The amortised time is constant.
func (q *BucketQueue[T]) Put(item T, level int) {
	p := item.GetPosition()
	level = min(max(level, 0), maxLevel)
	if p.owner == remover(q) && p.level == level {
		return
	}
	Remove(item)
	for len(q.buckets) <= level {
		q.buckets = append(q.buckets, nil)
	}
	*p = Position{owner: q, level: level, index: len(q.buckets[level])}
	q.buckets[level] = append(q.buckets[level], item)
	q.lowest = min(q.lowest, level)
	q.count++
}

// Remove removes an item from the BucketQueue that contains it, if any. It takes constant time.
func Remove[T Item](item T) {
	if p := item.GetPosition(); p.owner != nil {
		p.owner.removeAt(p)
	}
}

func (q *BucketQueue[T]) removeAt(p *Position) {
	items := q.buckets[p.level]
	last := len(items) - 1
	items[p.index] = items[last]
	items[p.index].GetPosition().index = p.index
	var zero T
	items[last] = zero
	q.buckets[p.level] = items[:last]
	*p = Position{}
	q.count--
}

// Each calls f for each item. f must not modify q.
func (q *BucketQueue[T]) Each(f func(T)) {
	for _, items := range q.buckets {
		for _, item := range items {
			f(item)
		}
	}
}

// LowestLevel returns all items of the lowest level that contains an item other than skip, and that
// level. The items are nil if there is no such level, and valid until the next call of Put or
// Remove.
func (q *BucketQueue[T]) LowestLevel(skip T) ([]T, int) {
	for q.lowest < len(q.buckets) && len(q.buckets[q.lowest]) == 0 {
		q.lowest++
	}
	for level := q.lowest; level < len(q.buckets); level++ {
		items := q.buckets[level]
		if len(items) > 1 || len(items) == 1 && items[0] != skip {
			return items, level
		}
	}
	return nil, 0
}
