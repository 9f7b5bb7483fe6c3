package communicator

import (
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/coordinator"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
)

// queuedInput is an input of the state machine and, if its result is awaited, the channel
// for the reply.
type queuedInput struct {
	input coordinator.Input
	reply chan<- coordinator.Answered
}

// loop feeds inputs to the state machine and executes its outputs.
type loop struct {
	service  *Service
	logger   *slog.Logger
	machine  *coordinator.Machine
	now      time.Time
	reportAt time.Time
}

func newLoop(s *Service, address netip.AddrPort, now time.Time) *loop {
	o := s.options
	return &loop{
		service: s, logger: o.Logger, now: now,
		machine: coordinator.New(coordinator.Settings{
			Settings: gossiper.Settings{
				Name: o.Name, DataCentre: o.DataCentre, Region: o.Region, Address: address, PacketAddress: o.PacketAddress,
				Seeds: o.Seeds, Incarnation: uint64(now.UnixMilli()),
			},
			Control: o.Control, Lease: o.Lease,
		}, s.random(), now),
	}
}

func (l *loop) run() {
	for {
		next, ok := l.service.inputs.Pop()
		if !ok {
			return
		}
		l.now = l.service.options.Timer.Now()
		if _, isTick := next.input.(coordinator.Tick); isTick {
			for _, queued := range l.service.takeOverflow() {
				l.handle(queued)
			}
			l.reportIfDue()
		}
		l.handle(next)
		l.service.view.Publish()
	}
}

func (l *loop) handle(next queuedInput) {
	for _, out := range l.machine.Step(l.now, next.input) {
		switch out := out.(type) {
		case coordinator.Send:
			l.send(out)
		case coordinator.Poll:
			l.service.startPoll(out)
		case coordinator.Fetch:
			l.service.startFetch(out)
		case coordinator.Answered:
			if next.reply != nil {
				next.reply <- out
			}
		default:
			l.updateView(out)
		}
	}
}

// updateView applies an output of the state machine to the view.
func (l *loop) updateView(out coordinator.Output) {
	view := l.service.view
	switch out := out.(type) {
	case coordinator.MembersChanged:
		l.changeMembers(out.Members)
	case coordinator.RecordPublished:
		view.SetRecord(out.Record)
	case coordinator.RecordRemoved:
		view.RemoveRecord(out.ID)
	case coordinator.CatalogChanged:
		l.logger.Info("configuration changed", "version", out.Catalog.Version)
		l.service.history.Add(out.Catalog)
		view.SetCatalog(out.Catalog)
	case coordinator.SummaryReceived:
		view.SetSummary(out.Summary, l.now)
	case coordinator.Joined:
		l.logger.Info("joined the membership")
		view.SetJoined()
	case coordinator.Ready:
		l.logger.Info("configuration is current", "version", l.machine.Version())
		view.SetReady(true)
	case coordinator.Resumed:
		l.logger.Warn("the process did not run for a while", "gap", out.Gap)
		view.AddPause()
	case coordinator.NameConflictDetected:
		l.logger.Error("another process uses this entry's name", "address", out.By.Address)
	}
}

func (l *loop) changeMembers(members []messenger.Member) {
	previous := l.service.View()
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
		if _, known := previous.GetMember(m.Name); !known {
			l.logger.Info("member is live", "member", m.Name, "data_centre", m.DataCentre)
		}
	}
	for _, m := range previous.Members {
		if _, live := slices.BinarySearch(names, m.Name); !live {
			l.logger.Info("member is gone", "member", m.Name, "data_centre", m.DataCentre)
			l.service.pool.Disconnect(m.Address)
		}
	}
	l.service.view.SetMembers(members)
}

func (l *loop) send(out coordinator.Send) {
	if !l.service.outbox.TryPush(out) {
		l.service.options.Counters.Int(counterDropped).Add(1)
	}
}
