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

// maxHistory bounds the steps that entries can follow without a complete state:
// about 15 min at the design size, where 3,900 backend servers change 5 times an
// hour.
const maxHistory = 4096

// step is what one command changed.
type step struct {
	index   uint64
	changes []director.Change
}

// Machine is the replicated state. It is safe for concurrent use.
type Machine struct {
	mu        sync.RWMutex
	index     uint64
	nextToken director.Token
	directory *director.Directory
	declared  director.Declaration
	// byHost finds the newest start of a host, and byAddress the backend server that
	// has not ended at an address.
	byHost    map[string]director.Token
	byAddress map[netip.AddrPort]director.Token
	history   []step
	// horizon is the index after which history is complete.
	horizon uint64
	changed chan struct{}
	// pending are the changes of the command that is being applied.
	pending []director.Change
}

var _ replicator.Applier = (*Machine)(nil)

// NewMachine returns a Machine without routes and backend servers.
func NewMachine() *Machine {
	return &Machine{nextToken: 1, directory: director.NewDirectory(), byHost: make(map[string]director.Token), byAddress: make(map[netip.AddrPort]director.Token), changed: make(chan struct{})}
}

// Apply carries out a command. It returns ErrStaleAnnouncement for a single
// announcement that is out of date.
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
		m.history = append(m.history, step{index: index, changes: m.pending})
		m.pending = nil
		if len(m.history) > maxHistory {
			m.horizon = m.history[0].index
			m.history = slices.Delete(m.history, 0, 1)
		}
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil, err
}

// change carries out one change and keeps it for the entries.
func (m *Machine) change(change director.Change) {
	switch c := change.(type) {
	case director.ServerChanged:
		noteAddress(m.byAddress, c.Server)
	case director.ServerForgotten:
		if s, ok := m.directory.Server(c.Token); ok {
			noteAddress(m.byAddress, s.WithState(director.StateGone))
		}
	}
	m.directory.Apply(change)
	m.pending = append(m.pending, change)
}

// noteAddress keeps byAddress up to date with a changed backend server. One at an
// address ends before another one is there.
func noteAddress(byAddress map[netip.AddrPort]director.Token, server director.Server) {
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
		if m.directory.IsTakenOut(c.DataCentre) != c.TakenOut {
			m.change(director.DataCentreChanged{Name: c.DataCentre, TakenOut: c.TakenOut})
		}
	case Enlist:
		if !m.directory.IsEnlisted(c.Entry) {
			m.change(director.EntryEnlisted{Name: c.Entry})
		}
	default:
		return errUnknownCommand
	}
	return nil
}

// declare puts a declaration in force. One that is not newer changes nothing.
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
			m.change(director.RouteChanged{Route: route})
		}
	}
	for _, route := range m.directory.Routes() {
		if !declared[route.Address] {
			m.change(director.RouteRemoved{Address: route.Address})
		}
	}
	for _, service := range d.Services {
		if m.directory.ColdRate(service.Name) != service.ColdRate {
			m.change(director.ServiceChanged{Name: service.Name, ColdRate: service.ColdRate})
		}
	}
	m.change(director.VersionChanged{Version: d.Version, IdleTimeout: d.IdleTimeout})
}

// announce records announcements. The error is that of the last one that is
// stale.
func (m *Machine) announce(announcements []Announcement) error {
	var stale error
	for _, a := range announcements {
		server, superseded, err := m.place(a)
		if err != nil {
			stale = err
			continue
		}
		for _, other := range superseded {
			m.change(director.ServerChanged{Server: other.WithState(director.StateGone)})
		}
		if known, ok := m.directory.Server(server.Token); ok && known == server {
			continue
		}
		m.byHost[server.Host] = server.Token
		m.change(director.ServerChanged{Server: server})
	}
	return stale
}

// place returns the record that an announcement leads to, and the backend servers
// that have ended, as the announcement shows.
func (m *Machine) place(a Announcement) (director.Server, []director.Server, error) {
	server := a.Server.WithState(director.StateReady)
	if a.Draining {
		server = server.WithState(director.StateDraining)
	}
	known, ok := m.directory.Server(m.byHost[server.Host])
	isSame := ok && known.Incarnation == server.Incarnation && known.Address == server.Address && known.Service == server.Service
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
			// Only the sequence and the rest of the cold start differ.
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

// findSuperseded returns the backend server that had the address of a new one before,
// if any. It returns an error if that one started later.
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

func (m *Machine) withdraw(c Withdraw) {
	known, ok := m.directory.Server(m.byHost[c.Host])
	if !ok || known.State == director.StateGone || (c.Incarnation != 0 && c.Incarnation != known.Incarnation) {
		return
	}
	m.change(director.ServerChanged{Server: known.WithState(director.StateGone)})
}

func (m *Machine) expire(c Expire) {
	for _, token := range c.Lapsed {
		if s, ok := m.directory.Server(token); ok && s.IsLive() {
			m.change(director.ServerChanged{Server: s.WithState(director.StateLapsed)})
		}
	}
	for _, token := range c.Forget {
		s, ok := m.directory.Server(token)
		if !ok || s.IsLive() {
			continue
		}
		if m.byHost[s.Host] == token {
			delete(m.byHost, s.Host)
		}
		m.change(director.ServerForgotten{Token: token})
	}
}

// Declared returns the declaration in force.
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

// Index returns the position in the log that this replica has applied.
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

// Since returns the changes after an index and the index that they lead to.
// Complete tells that they build the whole state. An index that this replica has
// not reached yet leads to no changes.
func (m *Machine) Since(index uint64) (changes []director.Change, reached uint64, complete bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.index == 0 {
		return nil, index, false
	}
	if index == 0 || index < m.horizon {
		return m.directory.Changes(), m.index, true
	}
	for _, s := range m.history[m.findStep(index):] {
		changes = append(changes, s.changes...)
	}
	return changes, max(index, m.index), false
}

// findStep returns the position of the first step after an index.
func (m *Machine) findStep(index uint64) int {
	position, _ := slices.BinarySearchFunc(m.history, index, func(s step, index uint64) int {
		if s.index <= index {
			return -1
		}
		return 1
	})
	return position
}

// HasSince reports whether Since leads to any changes.
func (m *Machine) HasSince(index uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index > 0 && (index == 0 || index < m.horizon || m.findStep(index) < len(m.history))
}

// IsKnown reports whether an announcement would change nothing, so that renewing
// the lease is enough. The token is that of the record.
func (m *Machine) IsKnown(a Announcement) (director.Token, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.directory.Server(m.byHost[a.Server.Host])
	if !ok || known.Incarnation != a.Server.Incarnation || known.Address != a.Server.Address || known.Service != a.Server.Service {
		return 0, false
	}
	state := director.StateReady
	if a.Draining {
		state = director.StateDraining
	}
	return known.Token, known.State == state && known.IsCold() == a.Server.IsCold() && a.Server.Sequence >= known.Sequence
}

// IsEnlisted reports whether an entry was enlisted.
func (m *Machine) IsEnlisted(entry string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.IsEnlisted(entry)
}

// stored is the encoding of a snapshot.
type stored struct {
	Format    uint                 `cbor:"format"`
	Index     uint64               `cbor:"index"`
	NextToken director.Token       `cbor:"next_token"`
	Declared  director.Declaration `cbor:"declared"`
	Changes   []director.Body      `cbor:"changes"`
}

// storedFormat is the version of the snapshot encoding.
const storedFormat = 1

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := stored{Format: storedFormat, Index: m.index, NextToken: m.nextToken, Declared: m.declared}
	for _, change := range m.directory.Changes() {
		s.Changes = append(s.Changes, director.Wrap(change))
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state by that of a Snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	var s stored
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("decode a snapshot: %w", err)
	}
	if s.Format != storedFormat {
		return fmt.Errorf("decode a snapshot: format %d is not known", s.Format)
	}
	directory, byHost, byAddress := director.NewDirectory(), make(map[string]director.Token), make(map[netip.AddrPort]director.Token)
	for _, body := range s.Changes {
		change := body.Unwrap()
		directory.Apply(change)
		if c, ok := change.(director.ServerChanged); ok {
			// Tokens ascend, so the newest start comes last.
			byHost[c.Server.Host] = c.Server.Token
			noteAddress(byAddress, c.Server)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.nextToken, m.declared, m.directory, m.byHost, m.byAddress = s.Index, s.NextToken, s.Declared, directory, byHost, byAddress
	m.history, m.horizon = nil, s.Index
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
