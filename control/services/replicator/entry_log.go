package replicator

import (
	"fmt"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// entryLog holds the log in memory. The first element is a dummy that has only the index and
// term before the first usable entry.
type entryLog struct {
	entries []storer.Entry
}

// entryOverheadBytes is the approximate encoded size of an entry without its data.
const entryOverheadBytes = 32

func newEntryLog(snapshot *storer.Snapshot, entries []storer.Entry) (entryLog, error) {
	dummy := storer.Entry{}
	if snapshot != nil {
		dummy = storer.Entry{Index: snapshot.Index, Term: snapshot.Term}
	}
	if len(entries) > 0 && entries[0].Index <= dummy.Index {
		dummy = storer.Entry{Index: entries[0].Index, Term: entries[0].Term}
		entries = entries[1:]
	}
	l := entryLog{entries: append([]storer.Entry{dummy}, entries...)}
	for i, e := range l.entries {
		if e.Index != dummy.Index+uint64(i) {
			return entryLog{}, fmt.Errorf("stored log has a gap: found entry %d, want %d", e.Index, dummy.Index+uint64(i))
		}
	}
	if snapshot != nil && l.last() < snapshot.Index {
		l = entryLog{entries: []storer.Entry{{Index: snapshot.Index, Term: snapshot.Term}}}
	}
	return l, nil
}

func (l *entryLog) base() uint64 { return l.entries[0].Index }

func (l *entryLog) last() uint64 { return l.entries[len(l.entries)-1].Index }

func (l *entryLog) lastTerm() uint64 { return l.entries[len(l.entries)-1].Term }

// term returns the term of the entry at index, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index < l.base() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base()].Term, true
}

// slice returns the entries from first to last, inclusive. It stops at about maxBytes but
// returns at least one entry, or nil if the log does not hold the range.
func (l *entryLog) slice(first, last uint64, maxBytes int) []storer.Entry {
	if first <= l.base() || first > last || last > l.last() {
		return nil
	}
	all := l.entries[first-l.base() : last-l.base()+1]
	size := 0
	for i, e := range all {
		if size += len(e.Data) + entryOverheadBytes; size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// firstWithin returns the lowest index, but not below before, after which the entries up to
// last take at most maxBytes. 0 bytes means no bound.
func (l *entryLog) firstWithin(before, last uint64, maxBytes int) uint64 {
	if maxBytes <= 0 {
		return before
	}
	size := 0
	for index := last; index > before; index-- {
		if size += entryOverheadBytes + len(l.entries[index-l.base()].Data); size > maxBytes {
			return index
		}
	}
	return before
}

// sizeOf returns the approximate encoded size of entries in bytes.
func sizeOf(entries []storer.Entry) int {
	size := 0
	for _, e := range entries {
		size += entryOverheadBytes + len(e.Data)
	}
	return size
}

// truncateAndAppend drops the entries from the index of the first new one on, then appends the
// new ones. Slices returned earlier stay unchanged.
func (l *entryLog) truncateAndAppend(entries []storer.Entry) {
	keep := entries[0].Index - l.base()
	if keep < uint64(len(l.entries)) {
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to index. The entry at index becomes the dummy.
func (l *entryLog) compact(index uint64) {
	if index <= l.base() {
		return
	}
	rest := l.entries[index-l.base():]
	l.entries = append(make([]storer.Entry, 0, len(rest)), rest...)
	l.entries[0].Data = nil
}

func (l *entryLog) reset(index, term uint64) {
	l.entries = []storer.Entry{{Index: index, Term: term}}
}
