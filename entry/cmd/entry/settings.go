package main

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// Limits of settings.
const (
	maxVNI       = 1<<24 - 1
	minLease     = time.Second
	maxLease     = 10 * time.Minute
	minFlows     = 1024
	maxFlows     = 16 << 20
	maxHold      = 10 * time.Second
	maxDrain     = 5 * time.Minute
	maxAddresses = 64
)

type settings struct {
	runner.CommonSettings `embed:""`

	Name       string `name:"name" env:"REDWINGLEDGE_NAME" required:"" help:"Name of this entry, unique in the system. With certificates it must be the common name."`
	DataCentre string `name:"data-centre" env:"REDWINGLEDGE_DATA_CENTRE" required:"" help:"Name of the data centre of this entry."`
	Region     string `name:"region" env:"REDWINGLEDGE_REGION" required:"" help:"Name of the region of this entry."`

	GRPCAddress     netip.AddrPort   `name:"grpc-address" env:"REDWINGLEDGE_GRPC_ADDRESS" default:"127.0.0.1:7100" help:"IP:PORT for other entries and gateways."`
	PacketAddress   netip.AddrPort   `name:"packet-address" env:"REDWINGLEDGE_PACKET_ADDRESS" default:"127.0.0.1:6081" help:"IP:PORT (UDP) for packets from the fabric and from other entries."`
	AnnounceAddress netip.AddrPort   `name:"announce-address" env:"REDWINGLEDGE_ANNOUNCE_ADDRESS" default:"127.0.0.1:7101" help:"IP:PORT where backend servers announce themselves over HTTP."`
	FabricAddress   netip.AddrPort   `name:"fabric-address" env:"REDWINGLEDGE_FABRIC_ADDRESS" required:"" help:"IP:PORT (UDP) of the fabric, to which packets for backend servers and callers are sent."`
	VNI             uint32           `name:"vni" env:"REDWINGLEDGE_VNI" default:"1" help:"Virtual network identifier of the fabric, 0 to 16777215."`
	Seeds           []netip.AddrPort `name:"seed" env:"REDWINGLEDGE_SEEDS" help:"IP:PORT of the gRPC address of an entry to join through; may be repeated or separated by commas."`
	Control         []netip.AddrPort `name:"control" env:"REDWINGLEDGE_CONTROL" help:"IP:PORT of the operator address of a control replica; may be repeated or separated by commas."`

	Lease      time.Duration `name:"lease" env:"REDWINGLEDGE_LEASE" default:"10s" help:"Time after which a backend server that has not announced itself again gets no new flows, 1s to 10m."`
	Flows      int           `name:"flows" env:"REDWINGLEDGE_FLOWS" default:"400000" help:"Flows in the cache, 1024 to 16777216; about 48 bytes each."`
	Hold       time.Duration `name:"hold" env:"REDWINGLEDGE_HOLD" default:"1s" help:"Time from hearing of a change of backend servers until new flows follow it, at most 10s. It must be twice the time that gossip takes to reach all entries: 1s up to 16 entries, 3s above."`
	DrainDelay time.Duration `name:"drain-delay" env:"REDWINGLEDGE_DRAIN_DELAY" default:"3s" help:"Time for which packets are still forwarded after readiness is off, at most 5m. It must be longer than the fabric takes to stop."`
	Seed       uint64        `name:"random-seed" env:"REDWINGLEDGE_RANDOM_SEED" help:"Seed of random choices; 0 takes one from the clock."`

	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Check adds a problem for each invalid value.
func (s *settings) Check(problems *setting.Problems) {
	s.CheckCommon(problems)
	s.checkNames(problems)
	certificates := s.HasCertificates()
	problems.CheckListen("grpc-address", s.GRPCAddress, certificates)
	problems.CheckListen("packet-address", s.PacketAddress, certificates)
	problems.CheckListen("announce-address", s.AnnounceAddress, certificates)
	if !s.FabricAddress.IsValid() || s.FabricAddress.Port() == 0 {
		problems.Addf("fabric-address", "must be IP:PORT with a port above 0")
	}
	if s.VNI > maxVNI {
		problems.Addf("vni", "%d is above %d", s.VNI, maxVNI)
	}
	checkAddresses(problems, "seed", s.Seeds)
	checkAddresses(problems, "control", s.Control)
	checkDuration(problems, "lease", s.Lease, minLease, maxLease)
	checkDuration(problems, "hold", s.Hold, 0, maxHold)
	checkDuration(problems, "drain-delay", s.DrainDelay, 0, maxDrain)
	if s.Flows < minFlows || s.Flows > maxFlows {
		problems.Addf("flows", "%d is not between %d and %d", s.Flows, minFlows, maxFlows)
	}
}

func (s *settings) checkNames(problems *setting.Problems) {
	for name, value := range map[string]string{"name": s.Name, "data-centre": s.DataCentre, "region": s.Region} {
		if value == "" || len(value) > announcer.MaxNameLength {
			problems.Addf(name, "must have 1 to %d bytes", announcer.MaxNameLength)
		}
	}
}

func checkAddresses(problems *setting.Problems, name string, addresses []netip.AddrPort) {
	if len(addresses) > maxAddresses {
		problems.Addf(name, "has %d addresses, more than %d", len(addresses), maxAddresses)
	}
	for _, address := range addresses {
		if !address.IsValid() || address.Port() == 0 {
			problems.Addf(name, "must be IP:PORT with a port above 0")
		}
	}
}

func checkDuration(problems *setting.Problems, name string, value, least, most time.Duration) {
	if value < least || value > most {
		problems.Addf(name, "%s is not between %s and %s", value, least, most)
	}
}
