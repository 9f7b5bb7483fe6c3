// Package leveller keeps items ordered by a small number, so that the lowest ones are found
// without a look at the others.
package leveller

// maxLevel is the highest level; higher ones count as it.
const maxLevel = 2047

// Position is where an item stands in Levels. Items embed it; its zero value is that of an
// item outside. An item is in one Levels at a time.
type Position struct {
	// in is the Levels that hold the item.
	in           remover
	level, index int
}

type remover interface{ removeAt(p *Position) }

// GetPosition returns the position, for Levels.
func (p *Position) GetPosition() *Position { return p }

// Item is what Levels hold.
type Item interface {
	comparable
	GetPosition() *Position
}

// Levels holds items by level. The zero value is empty. It is not safe for concurrent use.
type Levels[T Item] struct {
	levels [][]T
	count  int
	// lowest is at most the lowest level that holds an item.
	lowest int
}

// Len returns the number of items.
func (l *Levels[T]) Len() int { return l.count }

// Put adds an item at a level, or moves it there from wherever it is. It takes constant
// time.
func (l *Levels[T]) Put(item T, level int) {
	p := item.GetPosition()
	level = min(max(level, 0), maxLevel)
	if p.in == remover(l) && p.level == level {
		return
	}
	Remove(item)
	for len(l.levels) <= level {
		l.levels = append(l.levels, nil)
	}
	*p = Position{in: l, level: level, index: len(l.levels[level])}
	l.levels[level] = append(l.levels[level], item)
	l.lowest = min(l.lowest, level)
	l.count++
}

// Remove takes an item out of the Levels that hold it, if any. It takes constant time.
func Remove[T Item](item T) {
	if p := item.GetPosition(); p.in != nil {
		p.in.removeAt(p)
	}
}

func (l *Levels[T]) removeAt(p *Position) {
	items := l.levels[p.level]
	last := len(items) - 1
	items[p.index] = items[last]
	items[p.index].GetPosition().index = p.index
	var none T
	items[last] = none
	l.levels[p.level] = items[:last]
	*p = Position{}
	l.count--
}

// Each calls f for all items. f must not change l.
func (l *Levels[T]) Each(f func(T)) {
	for _, items := range l.levels {
		for _, item := range items {
			f(item)
		}
	}
}

// Lowest returns the items of the lowest level that holds another item than skip, and that
// level. They are nil if there is none, and valid until the next call of Put or Remove.
func (l *Levels[T]) Lowest(skip T) ([]T, int) {
	for l.lowest < len(l.levels) && len(l.levels[l.lowest]) == 0 {
		l.lowest++
	}
	for level := l.lowest; level < len(l.levels); level++ {
		items := l.levels[level]
		if len(items) > 1 || len(items) == 1 && items[0] != skip {
			return items, level
		}
	}
	return nil, 0
}
