package director

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// maxHistory is the number of change sets kept for entries that catch up without a
// full copy of the state. It covers about 15 min at the design size, where 3,900
// backend servers change 5 times an hour.
const maxHistory = 4096

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
	// byHost maps a host to its newest start, and byAddress an address to the backend
	// server there that has not stopped.
	byHost    map[string]director.Token
	byAddress map[netip.AddrPort]director.Token
	// withdrawn holds the backend servers whose withdrawal may have been that of an earlier start.
	withdrawn map[director.Token]bool
	// silent holds the draining backend servers whose lease has expired. Entries know them as
	// draining, because they must still get no new flows.
	silent  map[director.Token]bool
	history []changeSet
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
		nextToken: 1, directory: director.NewDirectory(), byHost: make(map[string]director.Token), byAddress: make(map[netip.AddrPort]director.Token),
		withdrawn: make(map[director.Token]bool), silent: make(map[director.Token]bool), changed: make(chan struct{}),
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
		m.history = append(m.history, changeSet{index: index, changes: m.pending})
		m.pending = nil
		if len(m.history) > maxHistory {
			m.compactedIndex = m.history[0].index
			m.history = slices.Delete(m.history, 0, 1)
		}
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil, err
}

// applyChange applies one change to the directory and adds it to the pending changes.
func (m *Machine) applyChange(change director.Change) {
	switch c := change.(type) {
	case director.ServerChanged:
		updateAddressIndex(m.byAddress, c.Server)
	case director.ServerRemoved:
		if s, ok := m.directory.Server(c.Token); ok {
			updateAddressIndex(m.byAddress, s.WithState(director.StateGone))
		}
	}
	m.directory.Apply(change)
	m.pending = append(m.pending, change)
}

// updateAddressIndex updates byAddress for a changed backend server. The previous
// backend server at an address is marked as gone before another one is recorded there.
func updateAddressIndex(byAddress map[netip.AddrPort]director.Token, server director.Server) {
	if server.State != director.StateGone {
		byAddress[server.Address] = server.Token
	} else if byAddress[server.Address] == server.Token {
		delete(byAddress, server.Address)
	}
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

// announce records announcements. Stale ones are skipped; the error is that of the
// last of them.
func (m *Machine) announce(announcements []Announcement) error {
	var stale error
	for _, a := range announcements {
		server, superseded, err := m.resolve(a)
		if err != nil {
			stale = err
			continue
		}
		for _, other := range superseded {
			m.clearMarks(other.Token)
			m.changeState(other, director.StateGone, CauseSuperseded, server)
		}
		m.clearMarks(server.Token)
		if known, ok := m.directory.Server(server.Token); ok && known == server {
			continue
		}
		m.byHost[server.Host] = server.Token
		m.applyChange(director.ServerChanged{Server: server})
	}
	return stale
}

// resolve returns the record that results from an announcement, and the backend
// servers that it supersedes: the announcement shows that they have stopped.
func (m *Machine) resolve(a Announcement) (director.Server, []director.Server, error) {
	server := a.Server.WithState(director.StateReady)
	if a.Draining {
		server = server.WithState(director.StateDraining)
	}
	known, ok := m.directory.Server(m.byHost[server.Host])
	isSame := ok && isSameStart(known, server) && !m.isPresumedGone(known)
	switch {
	case ok && server.Incarnation < known.Incarnation:
		return server, nil, ErrStaleAnnouncement{Host: server.Host, Reason: "a later start has announced itself"}
	case isSame && known.State == director.StateGone:
		return server, nil, ErrStaleAnnouncement{Host: server.Host, Reason: "it has ended"}
	case isSame && server.Sequence < known.Sequence:
		return server, nil, ErrStaleAnnouncement{Host: server.Host, Reason: fmt.Sprintf("sequence %d is before %d", server.Sequence, known.Sequence)}
	case isSame && known.State == director.StateDraining && !a.Draining && server.Sequence == known.Sequence:
		return server, nil, ErrStaleAnnouncement{Host: server.Host, Reason: "it is draining"}
	}
	if isSame {
		server.Token = known.Token
		if known.State == server.State && known.IsCold() == server.IsCold() {
			// Only the sequence and the remaining time of the cold start differ.
			return known, nil, nil
		}
		return server, nil, nil
	}
	superseded, err := m.findSuperseded(server)
	if err != nil {
		return server, nil, err
	}
	if ok && known.State != director.StateGone && !slices.Contains(superseded, known) {
		superseded = append(superseded, known)
	}
	server.Token = m.nextToken
	m.nextToken++
	return server, superseded, nil
}

// findSuperseded returns the backend server that held the address of a new one, if
// any. It returns ErrStaleAnnouncement if that one started later.
func (m *Machine) findSuperseded(server director.Server) ([]director.Server, error) {
	other, ok := m.directory.Server(m.byAddress[server.Address])
	if !ok {
		return nil, nil
	}
	if server.Incarnation < other.Incarnation {
		return nil, ErrStaleAnnouncement{Host: server.Host, Reason: fmt.Sprintf("%s has been announced by %q, which started later", server.Address, other.Host)}
	}
	return []director.Server{other}, nil
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

// IsKnown returns the token of the recorded backend server, and whether an
// announcement would leave the state unchanged, so that renewing the lease is enough.
func (m *Machine) IsKnown(a Announcement) (director.Token, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.directory.Server(m.byHost[a.Server.Host])
	if !ok || !isSameStart(known, a.Server) || m.isPresumedGone(known) {
		return 0, false
	}
	state := director.StateReady
	if a.Draining {
		state = director.StateDraining
	}
	isMarked := m.withdrawn[known.Token] || m.silent[known.Token]
	return known.Token, !isMarked && known.State == state && known.IsCold() == a.Server.IsCold() && a.Server.Sequence >= known.Sequence
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
	Withdrawn []director.Token     `cbor:"withdrawn,omitempty"`
	Silent    []director.Token     `cbor:"silent,omitempty"`
}

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// Snapshot returns the encoding of the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := storedState{
		Format: snapshotFormat, Index: m.index, NextToken: m.nextToken, Declared: m.declared,
		Withdrawn: slices.Sorted(maps.Keys(m.withdrawn)), Silent: slices.Sorted(maps.Keys(m.silent)),
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
	directory, byHost, byAddress := director.NewDirectory(), make(map[string]director.Token), make(map[netip.AddrPort]director.Token)
	for _, body := range s.Changes {
		change := body.Unwrap()
		directory.Apply(change)
		if c, ok := change.(director.ServerChanged); ok {
			// Changes are in the order of tokens, so the newest start of a host comes last.
			byHost[c.Server.Host] = c.Server.Token
			updateAddressIndex(byAddress, c.Server)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawn, m.silent = setOf(s.Withdrawn), setOf(s.Silent)
	m.index, m.nextToken, m.declared, m.directory, m.byHost, m.byAddress = s.Index, s.NextToken, s.Declared, directory, byHost, byAddress
	m.history, m.compactedIndex = nil, s.Index
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func setOf(tokens []director.Token) map[director.Token]bool {
	set := make(map[director.Token]bool, len(tokens))
	for _, token := range tokens {
		set[token] = true
	}
	return set
}
