package peers

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/configurer"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/entry/services/leaser"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// job is something for the loop to do.
type job interface{ isJob() }

type (
	tickJob    struct{}
	leaveJob   struct{}
	receiveJob struct{ envelope messenger.Envelope }
	observeJob struct{ observed leaser.Observed }
	polledJob  struct{ polled configurer.Polled }
	fetchedJob struct{ fetched configurer.Fetched }

	announceJob struct {
		announcement announcer.Announcement
		reply        chan<- leaser.Answered
	}
)

func (tickJob) isJob()     {}
func (leaveJob) isJob()    {}
func (receiveJob) isJob()  {}
func (observeJob) isJob()  {}
func (polledJob) isJob()   {}
func (fetchedJob) isJob()  {}
func (announceJob) isJob() {}

// loop runs the state machines and passes on what each decides to the others.
type loop struct {
	service    *Service
	logger     *slog.Logger
	now        time.Time
	gossiper   *gossiper.Machine
	leaser     *leaser.Machine
	configurer *configurer.Machine
	answer     leaser.Answered
	reportAt   time.Time
}

func newLoop(s *Service, address netip.AddrPort, now time.Time) *loop {
	o := s.options
	return &loop{
		service: s, logger: o.Logger, now: now,
		gossiper: gossiper.New(gossiper.Settings{
			Name: o.Name, DataCentre: o.DataCentre, Region: o.Region, Address: address, PacketAddress: o.PacketAddress,
			Seeds: o.Seeds, Incarnation: uint64(now.UnixMilli()),
		}, s.random(1), now),
		leaser:     leaser.New(leaser.Settings{Name: o.Name, DataCentre: o.DataCentre, Lease: o.Lease}, now),
		configurer: configurer.New(configurer.Settings{Name: o.Name, DataCentre: o.DataCentre, Region: o.Region, Control: o.Control}, s.random(2), now),
	}
}

func (l *loop) run() {
	for {
		next, ok := l.service.jobs.Pop()
		if !ok {
			return
		}
		l.now = l.service.options.Timer.Now()
		l.do(next)
		l.service.view.Publish()
	}
}

func (l *loop) do(next job) {
	switch j := next.(type) {
	case tickJob:
		for _, late := range l.service.takeLate() {
			l.do(late)
		}
		l.gossip(gossiper.Tick{})
		l.lease(leaser.Tick{})
		l.configure(configurer.Tick{})
		l.reportSometimes()
	case receiveJob:
		l.receive(j.envelope)
	case announceJob:
		l.lease(leaser.Announced{Announcement: j.announcement})
		j.reply <- l.answer
	case observeJob:
		l.lease(j.observed)
	case polledJob:
		l.configure(j.polled)
	case fetchedJob:
		l.configure(j.fetched)
	case leaveJob:
		l.logger.Info("leaving the membership")
		l.gossip(gossiper.Leave{})
	}
}

// receive splits an envelope between the machines.
func (l *loop) receive(env messenger.Envelope) {
	l.gossip(gossiper.Received{Envelope: env})
	for _, msg := range env.Messages {
		if batch, ok := msg.(messenger.RenewalBatch); ok {
			l.lease(leaser.BatchReceived{Batch: batch})
		}
	}
}

func (l *loop) gossip(in gossiper.Input) {
	for _, out := range l.gossiper.Step(l.now, in) {
		switch out := out.(type) {
		case gossiper.Send:
			l.send(out)
		case gossiper.MembersChanged:
			l.changeMembers(out)
		case gossiper.RecordUpdated:
			l.lease(leaser.RecordUpdated{Record: out.Record})
		case gossiper.RecordRemoved:
			l.lease(leaser.RecordRemoved{ID: out.ID})
		case gossiper.VersionHeard:
			l.configure(configurer.VersionHeard{Version: out.Version, From: out.From})
		case gossiper.MajorityHeard:
			l.configure(configurer.MajorityHeard{Version: out.Version})
		case gossiper.Joined:
			l.logger.Info("joined the membership")
			l.service.view.SetJoined()
		case gossiper.Thawed:
			l.logger.Warn("the process did not run for a while", "gap", out.Gap)
			l.service.view.AddThaw()
			l.configure(configurer.Thawed{})
		case gossiper.Superseded:
			l.logger.Error("another process uses this entry's name", "address", out.By.Address)
		case gossiper.SummaryHeard:
		}
	}
}

func (l *loop) changeMembers(out gossiper.MembersChanged) {
	former := l.service.View()
	for _, p := range out.Members {
		if _, known := former.GetMember(p.Name); !known {
			l.logger.Info("member is live", "member", p.Name, "data_centre", p.DataCentre)
		}
	}
	l.service.view.SetMembers(out.Members)
	l.lease(leaser.MembersChanged{Members: out.Members, Lost: out.Lost})
	l.configure(configurer.MembersChanged{Members: out.Members})
	for _, p := range former.Members {
		if _, live := findMember(out.Members, p.Name); !live {
			l.logger.Info("member is gone", "member", p.Name, "data_centre", p.DataCentre)
			l.service.pool.Forget(p.Address)
		}
	}
}

func findMember(members []messenger.Member, name string) (messenger.Member, bool) {
	for _, p := range members {
		if p.Name == name {
			return p, true
		}
	}
	return messenger.Member{}, false
}

func (l *loop) lease(in leaser.Input) {
	for _, out := range l.leaser.Step(l.now, in) {
		switch out := out.(type) {
		case leaser.Decided:
			l.gossip(gossiper.RecordChanged{Record: out.Record})
		case leaser.Shown:
			l.service.view.SetRecord(out.Record)
		case leaser.Removed:
			l.service.view.RemoveRecord(out.ID)
		case leaser.Forward:
			l.send(gossiper.Send{To: out.To.Address, Envelope: messenger.Envelope{
				From: l.service.options.Name, Incarnation: l.gossiper.Self().Incarnation, Messages: []messenger.Message{out.Batch},
			}})
		case leaser.Answered:
			l.answer = out
		}
	}
}

func (l *loop) configure(in configurer.Input) {
	for _, out := range l.configurer.Step(l.now, in) {
		switch out := out.(type) {
		case configurer.Poll:
			l.service.startPoll(out)
		case configurer.Fetch:
			l.service.startFetch(out)
		case configurer.CatalogChanged:
			l.logger.Info("configuration changed", "version", out.Catalog.Version)
			l.service.history.Add(out.Catalog)
			l.service.view.SetCatalog(out.Catalog)
			l.gossip(gossiper.VersionChanged{Version: out.Catalog.Version})
			l.gossip(gossiper.RemotesChanged{Addresses: out.Remotes})
		case configurer.Confirmed:
			l.gossip(gossiper.VersionConfirmed{})
		case configurer.Ready:
			l.logger.Info("configuration is current", "version", l.configurer.Version())
			l.service.view.SetReady(true)
		}
	}
}

func (l *loop) send(out gossiper.Send) {
	if !l.service.outbox.TryPush(out) {
		l.service.options.Counters.Int(counterDropped).Add(1)
	}
}
