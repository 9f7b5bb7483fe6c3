package director

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// maxHistoryChanges is the number of changes kept for entries that catch up without a
// full copy of the state. It covers about 15 min at the design size, where 3,900
// backend servers change 5 times an hour. A declaration may change a thousand routes.
const maxHistoryChanges = 4096

// changeSet holds the changes that one command made.
type changeSet struct {
	index   uint64
	changes []director.Change
}

// Machine is the replicated state machine of the directory. It is safe for concurrent use.
type Machine struct {
	mu        sync.RWMutex
	index     uint64
	nextToken director.Token
	directory *director.Directory
	declared  director.Declaration
	starts    startIndex
	marks     map[director.Token]marks
	history   []changeSet
	// historyChanges is the number of changes in history.
	historyChanges int
	// compactedIndex is the highest index whose changes history may lack; later ones
	// are complete.
	compactedIndex uint64
	changed        chan struct{}
	// pending holds the changes of the command that is being applied.
	pending []director.Change
	// observeTransition, if set, is called with each transition.
	observeTransition func(Transition)
}

var _ replicator.Applier = (*Machine)(nil)

// NewMachine returns an empty Machine.
func NewMachine() *Machine {
	return &Machine{
		nextToken: 1, directory: director.NewDirectory(), starts: newStartIndex(), marks: make(map[director.Token]marks), changed: make(chan struct{}),
	}
}

// Apply applies a committed command; an index that was applied before is ignored. It
// returns ErrStaleAnnouncement if an announcement of the command is out of date.
func (m *Machine) Apply(index uint64, data []byte) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.index {
		return nil, nil
	}
	m.index = index
	command, err := decode(data)
	if err != nil {
		return nil, err
	}
	err = m.apply(command)
	if len(m.pending) > 0 {
		m.recordHistory(changeSet{index: index, changes: m.pending})
		m.pending = nil
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil, err
}

// recordHistory adds a change set to the history and removes the oldest ones if there are too many changes.
func (m *Machine) recordHistory(set changeSet) {
	m.history = append(m.history, set)
	m.historyChanges += len(set.changes)
	count := 0
	for ; m.historyChanges > maxHistoryChanges; count++ {
		m.historyChanges -= len(m.history[count].changes)
		m.compactedIndex = m.history[count].index
	}
	m.history = slices.Delete(m.history, 0, count)
}

// applyChange applies one change to the directory and adds it to the pending changes.
func (m *Machine) applyChange(change director.Change) {
	switch c := change.(type) {
	case director.ServerChanged:
		m.starts.add(c.Server)
	case director.ServerRemoved:
		if server, ok := m.directory.Server(c.Token); ok {
			m.starts.remove(server)
		}
		delete(m.marks, c.Token)
	}
	m.directory.Apply(change)
	m.pending = append(m.pending, change)
}

func (m *Machine) apply(command Command) error {
	switch c := command.(type) {
	case Declare:
		m.declare(c.Declaration)
	case Announce:
		return m.announce(c.Announcements)
	case Withdraw:
		m.withdraw(c)
	case Expire:
		m.expire(c)
	case TakeOut:
		m.takeOut(c)
	case Enlist:
		if !m.directory.HasEntry(c.Entry) {
			m.applyChange(director.EntryAdded{Name: c.Entry})
		}
	default:
		return errUnknownCommand
	}
	return nil
}

// declare applies a declaration. One that is not newer than the current one is ignored.
func (m *Machine) declare(d director.Declaration) {
	if d.Version <= m.declared.Version {
		return
	}
	m.declared = d
	declared := make(map[netip.AddrPort]bool, len(d.Routes))
	for _, r := range d.Routes {
		declared[r.Route.Address] = true
		route := r.Route
		earlier, ok := m.directory.Route(route.Address)
		if ok {
			route = route.WithFormer(earlier)
		}
		if !ok || !route.Equal(earlier) {
			m.applyChange(director.RouteChanged{Route: route})
		}
	}
	for _, route := range m.directory.Routes() {
		if !declared[route.Address] {
			m.applyChange(director.RouteRemoved{Address: route.Address})
		}
	}
	for _, service := range d.Services {
		if m.directory.ColdRate(service.Name) != service.ColdRate {
			m.applyChange(director.ServiceChanged{Name: service.Name, ColdRate: service.ColdRate})
		}
	}
	m.applyChange(director.VersionChanged{Version: d.Version, IdleTimeout: d.IdleTimeout})
}

// Declared returns the current declaration.
func (m *Machine) Declared() director.Declaration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.declared
}

// Servers returns all backend servers, sorted by token.
func (m *Machine) Servers() []director.Server {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.Servers()
}

// Index returns the index of the last log entry that was applied.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Changed returns a channel that is closed at the next change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// ChangesSince returns the changes after an index and the index of the state that they lead
// to. If complete is true, they build the whole state from an empty directory. There
// are no changes after an index that this replica has not reached yet.
func (m *Machine) ChangesSince(index uint64) (changes []director.Change, reached uint64, complete bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.index == 0 {
		return nil, index, false
	}
	if index == 0 || index < m.compactedIndex {
		return m.directory.Changes(), m.index, true
	}
	for _, s := range m.history[m.findChangeSet(index):] {
		changes = append(changes, s.changes...)
	}
	return changes, max(index, m.index), false
}

// findChangeSet returns the position in history of the first change set after an index.
func (m *Machine) findChangeSet(index uint64) int {
	position, _ := slices.BinarySearchFunc(m.history, index, func(s changeSet, index uint64) int {
		if s.index <= index {
			return -1
		}
		return 1
	})
	return position
}

// HasChangesSince reports whether ChangesSince returns any changes.
func (m *Machine) HasChangesSince(index uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index > 0 && (index == 0 || index < m.compactedIndex || m.findChangeSet(index) < len(m.history))
}

// HasEntry reports whether an entry was added by Enlist.
func (m *Machine) HasEntry(entry string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.HasEntry(entry)
}

// storedState is the encoding of a snapshot.
type storedState struct {
	Format    uint                 `cbor:"format"`
	Index     uint64               `cbor:"index"`
	NextToken director.Token       `cbor:"next_token"`
	Declared  director.Declaration `cbor:"declared"`
	Changes   []director.Body      `cbor:"changes"`
	Marks     []markedStart        `cbor:"marks,omitempty"`
	// Paused and Silent were written in place of Marks by earlier versions.
	Paused []director.Token `cbor:"withdrawn,omitempty"`
	Silent []director.Token `cbor:"silent,omitempty"`
}

// storedMarks returns the marks of a snapshot by token.
func (s storedState) storedMarks() map[director.Token]marks {
	stored := make(map[director.Token]marks, len(s.Marks))
	for _, start := range s.Marks {
		stored[start.Token] = start.Marks
	}
	for _, token := range s.Paused {
		known := stored[token]
		known.IsPaused = true
		stored[token] = known
	}
	for _, token := range s.Silent {
		known := stored[token]
		known.IsSilent = true
		stored[token] = known
	}
	return stored
}

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// Snapshot returns the encoding of the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := storedState{
		Format: snapshotFormat, Index: m.index, NextToken: m.nextToken, Declared: m.declared,
		Marks: m.markedStarts(),
	}
	for _, change := range m.directory.Changes() {
		s.Changes = append(s.Changes, director.Wrap(change))
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state with that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	var s storedState
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("decode a snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("decode a snapshot: unknown format %d", s.Format)
	}
	directory, starts := director.NewDirectory(), newStartIndex()
	for _, body := range s.Changes {
		change := body.Unwrap()
		directory.Apply(change)
		if c, ok := change.(director.ServerChanged); ok {
			starts.add(c.Server)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.nextToken, m.declared, m.directory, m.starts, m.marks = s.Index, s.NextToken, s.Declared, directory, starts, s.storedMarks()
	m.history, m.historyChanges, m.compactedIndex = nil, 0, s.Index
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
