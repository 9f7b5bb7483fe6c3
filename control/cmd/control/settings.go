package main

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/routers/operators"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// Limits of settings.
const (
	maxNameLength      = 63
	minHeartbeat       = 10 * time.Millisecond
	maxElectionTimeout = time.Minute
	// minMissedHeartbeats is the smallest number of consecutive heartbeats that must be
	// lost before an election.
	minMissedHeartbeats = 5
	maxTrustDiskAfter   = time.Hour
	minSnapshotEntries  = 10
	maxSnapshotEntries  = 100_000
	minDataSize         = 16 << 20
)

type settings struct {
	runner.CommonSettings `embed:""`
	operators.Settings    `embed:""`

	Name        string                    `name:"name" env:"REDWINGLEDGE_NAME" required:"" help:"Name of this replica. With certificates it must be the common name."`
	Replicas    map[string]netip.AddrPort `name:"replica" env:"REDWINGLEDGE_REPLICAS" required:"" mapsep:"," placeholder:"NAME=IP:PORT" help:"Name and gRPC address of a control replica; may be repeated or separated by commas. All replicas need the same list of 1, 3, 5 or 7, with themselves."`
	GRPCAddress netip.AddrPort            `name:"grpc-address" env:"REDWINGLEDGE_GRPC_ADDRESS" help:"IP:PORT to bind; by default this replica's address in --replica."`
	DataFolder  string                    `name:"data-folder" env:"REDWINGLEDGE_DATA_FOLDER" required:"" help:"Folder with all durable state of this replica. Never run a copy or an old version of it: with an empty folder, the replica joins again by itself."`
	MaxDataSize int64                     `name:"max-data-size" env:"REDWINGLEDGE_MAX_DATA_SIZE" default:"0" help:"Largest size of the data file in bytes, at least 16777216; 0 for no limit. A replica that reaches it stops."`

	CreateCluster bool `name:"create-cluster" env:"REDWINGLEDGE_CREATE_CLUSTER" help:"Allow the first replica by name to create a new cluster if the folders of all replicas are empty. For the first start only."`

	Heartbeat       time.Duration `name:"heartbeat" env:"REDWINGLEDGE_HEARTBEAT" default:"100ms" help:"Time between messages of the leader, at least 10ms."`
	ElectionTimeout time.Duration `name:"election-timeout" env:"REDWINGLEDGE_ELECTION_TIMEOUT" default:"1s" help:"Silence after which another leader is elected: at least 5 heartbeats, at most 1m, and longer than a sync of the disk takes. Equal on all replicas."`
	TrustDiskAfter  time.Duration `name:"trust-disk-after" env:"REDWINGLEDGE_TRUST_DISK_AFTER" default:"10s" help:"Time after a start at which a replica may vote although too few others confirm that its disk is current: at least 2 election timeouts, at most 1h, or 0 for never."`
	SnapshotEntries int           `name:"snapshot-entries" env:"REDWINGLEDGE_SNAPSHOT_ENTRIES" default:"2000" help:"Commands between two snapshots, 10 to 100000."`
	KeepEntries     int           `name:"keep-entries" env:"REDWINGLEDGE_KEEP_ENTRIES" default:"500" help:"Commands kept before a snapshot for replicas that lag, at most --snapshot-entries."`

	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Check adds a problem for each invalid value.
func (s *settings) Check(problems *setting.Problems) {
	s.CheckCommon(problems)
	s.CheckOperators(problems, s.HasCertificates())
	s.checkReplicas(problems)
	if s.DataFolder == "" {
		problems.Addf("data-folder", "must not be empty")
	}
	if s.MaxDataSize != 0 && s.MaxDataSize < minDataSize {
		problems.Addf("max-data-size", "%d is below %d", s.MaxDataSize, minDataSize)
	}
	if s.Heartbeat < minHeartbeat {
		problems.Addf("heartbeat", "%s is below %s", s.Heartbeat, minHeartbeat)
	}
	if lowest := minMissedHeartbeats * s.Heartbeat; s.ElectionTimeout < lowest || s.ElectionTimeout > maxElectionTimeout {
		problems.Addf("election-timeout", "%s is not between %s and %s", s.ElectionTimeout, lowest, maxElectionTimeout)
	}
	if lowest := 2 * s.ElectionTimeout; s.TrustDiskAfter != 0 && (s.TrustDiskAfter < lowest || s.TrustDiskAfter > maxTrustDiskAfter) {
		problems.Addf("trust-disk-after", "%s is neither 0 nor between %s and %s", s.TrustDiskAfter, lowest, maxTrustDiskAfter)
	}
	if s.SnapshotEntries < minSnapshotEntries || s.SnapshotEntries > maxSnapshotEntries {
		problems.Addf("snapshot-entries", "%d is not between %d and %d", s.SnapshotEntries, minSnapshotEntries, maxSnapshotEntries)
	}
	if s.KeepEntries < 0 || s.KeepEntries > s.SnapshotEntries {
		problems.Addf("keep-entries", "%d is not between 0 and --snapshot-entries", s.KeepEntries)
	}
}

func (s *settings) checkReplicas(problems *setting.Problems) {
	switch len(s.Replicas) {
	case 1, 3, 5, 7:
	default:
		problems.Addf("replica", "%d replicas are listed, not 1, 3, 5 or 7", len(s.Replicas))
	}
	seen := make(map[netip.AddrPort]string)
	for _, p := range s.peers() {
		if p.Name == "" || len(p.Name) > maxNameLength {
			problems.Addf("replica", "the name %q must have 1 to %d bytes", p.Name, maxNameLength)
		}
		if !p.Address.IsValid() || p.Address.Port() == 0 || p.Address.Addr().IsUnspecified() {
			problems.Addf("replica", "the address of %q must be IP:PORT that other replicas can reach", p.Name)
		}
		if other, ok := seen[p.Address]; ok {
			problems.Addf("replica", "%q and %q have the same address", other, p.Name)
		}
		seen[p.Address] = p.Name
	}
	own, ok := s.Replicas[s.Name]
	if !ok {
		problems.Addf("name", "%q is not in the list of --replica", s.Name)
		return
	}
	if !s.GRPCAddress.IsValid() {
		s.GRPCAddress = own
	}
	problems.CheckListen("grpc-address", s.GRPCAddress, s.HasCertificates())
}

// peers returns the listed replicas, sorted by name.
func (s *settings) peers() []replicator.Peer {
	peers := make([]replicator.Peer, 0, len(s.Replicas))
	for name, address := range s.Replicas {
		peers = append(peers, replicator.Peer{Name: name, Address: address})
	}
	slices.SortFunc(peers, func(a, b replicator.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// replicationSettings returns the settings of the replicated log.
func (s *settings) replicationSettings() replicator.Settings {
	r := replicator.DefaultSettings()
	r.Name, r.Address, r.Peers, r.Bootstrap = s.Name, s.Replicas[s.Name], s.peers(), s.CreateCluster
	r.Heartbeat, r.ElectionTimeout, r.TrustDiskAfter = s.Heartbeat, s.ElectionTimeout, s.TrustDiskAfter
	r.SnapshotEntries, r.KeepEntries = s.SnapshotEntries, s.KeepEntries
	return r
}

// transferTimeout bounds the wait for the transfer of leadership at a planned stop.
// After it, the other replicas elect a leader without the transfer.
func (s *settings) transferTimeout() time.Duration { return 2 * s.ElectionTimeout }

// storeSettings returns the settings of the store.
func (s *settings) storeSettings() storer.Settings {
	return storer.Settings{Folder: s.DataFolder, MaxSize: s.MaxDataSize}
}
