// Package buffer provides bounded queues between goroutines.
package buffer

import "sync"

// Ring is a bounded FIFO queue for multiple producers and consumers. The zero value
// is not usable; see [NewRing].
type Ring[T any] struct {
	mu       sync.Mutex
	nonEmpty sync.Cond
	nonFull  sync.Cond
	items    []T
	head     int
	count    int
	closed   bool
}

// NewRing returns a Ring that holds up to capacity items. It panics if capacity
// is not positive.
func NewRing[T any](capacity int) *Ring[T] {
	if capacity <= 0 {
		panic("buffer: ring capacity must be positive")
	}
	r := &Ring[T]{items: make([]T, capacity)}
	r.nonEmpty.L = &r.mu
	r.nonFull.L = &r.mu
	return r
}

// TryPush appends item without waiting. It returns false, and does not append, if
// the ring is full or closed.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == len(r.items) {
		return false
	}
	r.putLocked(item)
	return true
}

// Push appends item and waits for space if the ring is full. It returns false, and
// does not append, if the ring is closed.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == len(r.items) && !r.closed {
		r.nonFull.Wait()
	}
	if r.closed {
		return false
	}
	r.putLocked(item)
	return true
}

// Pop removes and returns the oldest item, and waits for one if the ring is empty.
// It returns false if the ring is closed and empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.nonEmpty.Wait()
	}
	return r.takeLocked()
}

// PopBatch removes the oldest items, up to len(dst), and stores them in dst. It
// waits for at least one item. It returns the number of items, which is 0 if the
// ring is closed and empty.
func (r *Ring[T]) PopBatch(dst []T) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.nonEmpty.Wait()
	}
	n := 0
	for n < len(dst) && r.count > 0 {
		dst[n], _ = r.takeLocked()
		n++
	}
	return n
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close makes the ring refuse further items and wakes all waiting producers and consumers.
// Queued items can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.nonEmpty.Broadcast()
	r.nonFull.Broadcast()
}

func (r *Ring[T]) putLocked(item T) {
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.nonEmpty.Signal()
}

func (r *Ring[T]) takeLocked() (T, bool) {
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	r.nonFull.Signal()
	return item, true
}
