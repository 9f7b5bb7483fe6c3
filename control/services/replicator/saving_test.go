package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// sentBeforeSaves returns the messages of outputs that may precede saves.
func sentBeforeSaves(out []Output) []Message {
	var messages []Message
	for _, o := range out {
		if send, ok := o.(Send); ok && send.MayPrecedeSaves {
			messages = append(messages, send.Envelope.Message)
		}
	}
	return messages
}

// Guards against a follower that promises more than its disk has: the answers that it gives during a save must name
// the stored term and no entry that is not stored.
func TestAnswersDuringSave(t *testing.T) {
	t.Parallel()
	type fixture struct {
		lead, n *node
		// last is the last entry in both logs.
		last uint64
	}
	entry := func(index, term uint64) storer.Entry {
		return storer.Entry{Index: index, Term: term, Kind: storer.EntryEmpty}
	}
	heartbeat := func(f fixture, term, prev uint64) Message {
		return &AppendRequest{Term: term, PrevIndex: prev, PrevTerm: f.lead.machine.term, LeaderCommit: f.last}
	}
	for name, c := range map[string]struct {
		// before is what the follower is still storing when the heartbeat arrives.
		before    func(f fixture) Message
		heartbeat func(f fixture) Message
		// isStored reports that nothing of it must be stored.
		isStored bool
		// want is the index that the follower acknowledges at once, or -1 if it must not answer yet.
		want func(f fixture) int64
	}{
		"nothing is being stored": {
			isStored:  true,
			before:    func(f fixture) Message { return heartbeat(f, f.lead.machine.term, f.last) },
			heartbeat: func(f fixture) Message { return heartbeat(f, f.lead.machine.term, f.last) },
			want:      func(f fixture) int64 { return int64(f.last) },
		},
		"a new entry": {
			before: func(f fixture) Message {
				return &AppendRequest{Term: f.lead.machine.term, PrevIndex: f.last, PrevTerm: f.lead.machine.term, Entries: []storer.Entry{entry(f.last+1, f.lead.machine.term)}}
			},
			heartbeat: func(f fixture) Message { return heartbeat(f, f.lead.machine.term, f.last+1) },
			want:      func(f fixture) int64 { return int64(f.last) },
		},
		"a new term": {
			before:    func(f fixture) Message { return heartbeat(f, f.lead.machine.term+1, f.last) },
			heartbeat: func(f fixture) Message { return heartbeat(f, f.lead.machine.term+1, f.last) },
			want:      func(fixture) int64 { return -1 },
		},
		"a part of a snapshot of a new term": {
			before: func(f fixture) Message {
				header := storer.Snapshot{Index: f.last + 10, Term: f.lead.machine.term, MembershipIndex: 1, Membership: f.n.machine.membership()}
				return &SnapshotRequest{Term: f.lead.machine.term + 1, Header: header, Total: 9, Data: []byte("{}")}
			},
			heartbeat: func(f fixture) Message { return heartbeat(f, f.lead.machine.term+1, f.last) },
			want:      func(fixture) int64 { return -1 },
		},
		"a snapshot": {
			before: func(f fixture) Message {
				header := storer.Snapshot{Index: f.last + 10, Term: f.lead.machine.term, MembershipIndex: 1, Membership: f.n.machine.membership()}
				return &SnapshotRequest{Term: f.lead.machine.term, Header: header, Total: 2, Data: []byte("{}")}
			},
			heartbeat: func(f fixture) Message { return heartbeat(f, f.lead.machine.term, f.last+10) },
			want:      func(fixture) int64 { return 0 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newConvergedSimulation(t)
			sim.run(time.Second)
			f := fixture{lead: sim.leader(), n: sim.follower(), last: sim.leader().machine.log.last()}
			receive := func(message Message) []Message {
				return sentBeforeSaves(f.n.machine.Step(Receive{Now: sim.clock(f.n), Envelope: Envelope{From: f.lead.disk.id, Message: message}}))
			}
			before := receive(c.before(f))
			require.Equal(t, c.isStored, len(before) > 0, "early answer to what is being stored")
			answers, want := receive(c.heartbeat(f)), c.want(f)
			if want < 0 {
				require.Empty(t, answers)
				return
			}
			require.Len(t, answers, 1)
			require.Equal(t, uint64(want), answers[0].(*AppendResponse).MatchIndex)
			require.True(t, answers[0].(*AppendResponse).Success)
		})
	}
}

// Guards against an acknowledgement of entries that replace others, which are stored or being stored, but are not stored
// themselves.
func TestReplacedEntriesAreNotAcknowledgedDuringSave(t *testing.T) {
	t.Parallel()
	for name, savedBefore := range map[string]int{"stored entries are replaced": 2, "entries that are being stored are replaced": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newConvergedSimulation(t)
			sim.run(time.Second)
			lead, n := sim.leader(), sim.follower()
			last, term := n.machine.log.last(), n.machine.term
			receive := func(term, prev uint64, entryTerms ...uint64) []Message {
				req := &AppendRequest{Term: term, PrevIndex: prev, PrevTerm: n.machine.log.lastTerm()}
				if prev == last {
					req.PrevTerm = lead.machine.term
				}
				for i, entryTerm := range entryTerms {
					req.Entries = append(req.Entries, storer.Entry{Index: prev + 1 + uint64(i), Term: entryTerm, Kind: storer.EntryEmpty})
				}
				return sentBeforeSaves(n.machine.Step(Receive{Now: sim.clock(n), Envelope: Envelope{From: lead.disk.id, Message: req}}))
			}
			receive(term+1, last)
			receive(term+1, last, term, term)
			n.machine.Step(Saved{Now: sim.clock(n), Steps: savedBefore})
			receive(term+1, last, term+1, term+1)
			n.machine.Step(Saved{Now: sim.clock(n), Steps: 2 - savedBefore})
			answers := receive(term+1, last+2)
			require.Len(t, answers, 1)
			require.Equal(t, last, answers[0].(*AppendResponse).MatchIndex)
		})
	}
}

// Guards against a single replica that leads before its vote is stored, or commits an entry before it is.
func TestOnlyVoterWaitsForItsDisk(t *testing.T) {
	t.Parallel()
	sim := newSimulation(7, 1, mutation{})
	n := sim.nodes[0]
	sim.useSlowDisks(time.Second)
	sim.addClients(5, 100)
	for range 500 {
		m := n.machine
		if m.role == RoleLeader {
			require.Equal(t, m.term, n.disk.vote.Term)
		}
		if m.commitIndex > 0 {
			require.GreaterOrEqual(t, n.disk.last(), m.commitIndex)
		}
		sim.run(tickPeriod)
	}
	require.Equal(t, RoleLeader, n.machine.role)
	require.Positive(t, n.machine.commitIndex)
}

// Guards against a leader with slow disks that loses its leadership, and against changes that wait for ever.
func TestSlowDisksKeepLeader(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	sim.run(time.Second)
	lead, term := sim.leader(), sim.leader().machine.term
	sim.useSlowDisks(sim.settings.ElectionTimeout * 3 / 2)
	sim.addClients(3, 20)
	sim.run(2 * time.Minute)
	require.Equal(t, term, lead.machine.term)
	require.Equal(t, RoleLeader, lead.machine.role)
	require.Greater(t, lead.machine.commitIndex, uint64(20))
	require.Empty(t, sim.violations)
}

// Guards against a single replica that gives up its leadership as its disk is slow, although nobody else can lead, and
// then commits nothing.
func TestOnlyVoterKeepsLeading(t *testing.T) {
	t.Parallel()
	sim := newSimulation(7, 1, mutation{})
	sim.saveTime = func(*node) time.Duration { return 3 * sim.settings.ElectionTimeout }
	sim.run(time.Minute)
	n := sim.nodes[0]
	require.Equal(t, RoleLeader, n.machine.role)
	require.Equal(t, uint64(1), n.machine.counts.TermsLed)
	require.Positive(t, n.machine.commitIndex)
}

// Guards against voters with slow disks whose votes come after the candidate has given up, so that nobody is elected
// after the loss of a leader.
func TestLeaderIsElectedWithSlowDisks(t *testing.T) {
	t.Parallel()
	for name, isSlow := range map[string]func(i int) bool{
		"one of two": func(i int) bool { return i == 0 },
		"both":       func(int) bool { return true },
	} {
		for _, saveTime := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(name+" "+saveTime.String(), func(t *testing.T) {
				t.Parallel()
				sim := newConfiguredSimulation(7, 3, mutation{}, func(s *Settings) { s.SkipVerification = true })
				require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
				sim.run(time.Second)
				sim.kill(sim.leader())
				running := sim.running()
				sim.saveTime = func(n *node) time.Duration {
					if isSlow(slices.Index(running, n)) {
						return saveTime
					}
					return 0
				}
				lost := sim.now
				for sim.leader() == nil || sim.leader().machine.commitIndex < sim.leader().machine.termStart() {
					require.Less(t, sim.now-lost, 20*time.Second, sim.describe())
					sim.run(tickPeriod)
				}
				t.Logf("a leader has committed after %s", sim.now-lost)
			})
		}
	}
}

// Guards against voters with slow disks that compete for so long that nobody is elected: of five, two are lost, so that
// all others have to store their votes in the same term.
func TestLeaderIsElectedByBareMajorityWithSlowDisks(t *testing.T) {
	t.Parallel()
	const recovery = 15 * time.Second
	for seed := range uint64(30) {
		sim := newVotingSimulation(t, seed, 5, 5)
		sim.saveTime = func(*node) time.Duration {
			return 400*time.Millisecond + time.Duration(sim.rng.Int64N(int64(1200*time.Millisecond)))
		}
		sim.kill(sim.leader())
		sim.kill(sim.running()[0])
		lost := sim.now
		for sim.leader() == nil || sim.leader().machine.commitIndex < sim.leader().machine.termStart() {
			require.Less(t, sim.now-lost, recovery, "seed %d: %s", seed, sim.describe())
			sim.run(tickPeriod)
		}
	}
}

// Guards against a follower with a disk that has stopped, that still counts as active or collects messages without end.
func TestStoppedDiskSilencesFollower(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	sim.run(time.Second)
	lead, n := sim.leader(), sim.follower()
	sim.saveTime = func(other *node) time.Duration {
		if other == n {
			return 24 * time.Hour
		}
		return 0
	}
	sim.step(lead, Propose{Now: sim.clock(lead), ID: 1, Command: []byte(`{}`)})
	sim.run(5 * time.Second)
	require.False(t, lead.machine.isActive(n.disk.id), "without the need of a snapshot")
	sim.addClients(3, 10_000)
	sim.run(20 * time.Second)
	require.False(t, lead.machine.isActive(n.disk.id), "with the need of a snapshot")
	held := len(n.held.outputs)
	sim.run(time.Minute)
	require.Equal(t, RoleLeader, lead.machine.role)
	sends := slices.DeleteFunc(slices.Clone(n.held.outputs[held:]), IsSave)
	require.Empty(t, sends)
}
