package replicator

import (
	"net/netip"
	"time"
)

// Peer is a replica that the settings list.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Settings are the settings of a Machine.
type Settings struct {
	// Name and Address belong to this replica.
	Name    string
	Address netip.AddrPort
	// Peers are all replicas that the settings list, including this one.
	Peers []Peer
	// Bootstrap allows this replica to create a cluster if it is the first of Peers and all of them
	// answer that they belong to no cluster yet.
	Bootstrap bool
	// BootstrapMajorityAfter is the time since the start after which a majority of Peers is sufficient
	// to create a cluster. 0 means that all must answer. It requires that Bootstrap is set only if no
	// replica has been started before.
	BootstrapMajorityAfter time.Duration
	// Heartbeat is the interval between the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without contact to the leader before an election. A
	// random part of up to the same length is added.
	ElectionTimeout time.Duration
	// TrustDiskAfter is how long a restarted replica waits for the complete verification before
	// a majority is sufficient. 0 means forever.
	TrustDiskAfter time.Duration
	// SkipVerification states that disks never lose synced data, so that a restarted replica
	// needs no verification.
	SkipVerification bool
	// SnapshotEntries is the number of entries after which a snapshot is taken.
	SnapshotEntries int
	// SnapshotBytes is the size of the entries after which a snapshot is taken, so that a restart
	// does not have to apply many large ones. 0 means no bound.
	SnapshotBytes int
	// KeepEntries is the number of entries kept before a snapshot, so that replicas that are
	// slightly behind do not need the snapshot. They take at most SnapshotBytes.
	KeepEntries int
	// MaxAppendBytes bounds the size of the entries, or of the snapshot chunk, in one message.
	MaxAppendBytes int
	// MaxPending bounds the number of proposals that wait for a majority.
	MaxPending int
	// OpenMembership admits every replica that asks to join. Platforms need it that replace
	// replicas without announcing the names of the new ones.
	OpenMembership bool
	// MaxVoters bounds the voters of an open membership. Further replicas stay non-voters until a
	// voter stops responding. With an odd number, one half keeps a majority when a partition
	// splits the replicas evenly. 0 means no bound.
	MaxVoters int
	// RemoveSilentAfter is the time without a response after which an open membership removes a
	// replica, as long as MinVoters responding voters remain. The replica joins again when it is
	// back. 0 means never.
	RemoveSilentAfter time.Duration
	// ReplaceSilentAfter is the time without a response after which another replica of an open
	// membership votes in place of a voter. 0 means RemoveSilentAfter.
	ReplaceSilentAfter time.Duration
	// MinVoters is the least number of voters that automatic removals leave.
	MinVoters int
}

// DefaultSettings returns the default settings, without the names and addresses of replicas.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:       100 * time.Millisecond,
		ElectionTimeout: time.Second,
		TrustDiskAfter:  10 * time.Second,
		SnapshotEntries: 2000,
		SnapshotBytes:   512 << 10,
		KeepEntries:     500,
		// 64 KiB pass within the driver's timeout of a call, a third of the election timeout, at
		// 3 Mbit/s. Messages that a link does not transmit in time are lost each time.
		MaxAppendBytes: 64 << 10,
		MaxPending:     1024,
	}
}
