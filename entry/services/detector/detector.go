// Package detector recognises signs that the routers may send the flows of one entry through others, and pauses
// of the entry itself. It has no clock.
package detector

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// memory is how long a sign counts. The platform removes an entry after two failed probes, which takes 1 s,
	// and callers send the last copy of an opening packet 1.4 s after the first.
	memory = 2 * time.Second
	// foreignFlows is the number of flows of other entries within foreignPeriod that is taken for a change of the
	// rotation. Single ones are flows that were idle for longer than the idle timeout.
	foreignFlows  = 3
	foreignPeriod = time.Second
	// MaxGap is the time between two packets from which the entry may have been paused, or have been out of the
	// rotation. It is half of the 400 ms that callers wait after their first copy, so that a copy that was read
	// without such a gap has not been followed by another one.
	MaxGap = 200 * time.Millisecond
)

// Detector keeps the latest signs. The zero value has none; it is not safe for concurrent use.
type Detector struct {
	hasChanged, hasPaused bool
	changedAt, pausedAt   time.Time
	hasPacket             bool
	packetAt              time.Time
	// foreign holds the times of the latest flows of other entries, and foreignCount counts all of them.
	foreign      [foreignFlows]time.Time
	foreignCount int
	isStopped    bool
}

// RecordChanges records changes of the view. Flows may move to other entries if an entry joins, a data centre is
// taken out or brought back, or the configuration changes. A complete view shows that this entry has started or
// lagged behind.
func (d *Detector) RecordChanges(changes []director.Change, complete bool, now time.Time) {
	movesFlows := complete
	for _, change := range changes {
		switch change.(type) {
		case director.ServerChanged, director.ServerRemoved:
		default:
			movesFlows = true
		}
	}
	if movesFlows {
		d.recordChange(now)
	}
}

// RecordForeignFlow records data of a flow that another entry has carried before.
func (d *Detector) RecordForeignFlow(now time.Time) {
	d.foreign[d.foreignCount%foreignFlows] = now
	d.foreignCount++
	if d.foreignCount >= foreignFlows && now.Sub(d.foreign[d.foreignCount%foreignFlows]) < foreignPeriod {
		d.recordChange(now)
	}
}

// RecordPacket records that a packet was read. The first one, or one after MaxGap without any, shows that the
// entry may not have run, or may not have been in the rotation.
func (d *Detector) RecordPacket(now time.Time) {
	if !d.hasPacket || now.Sub(d.packetAt) >= MaxGap {
		d.RecordPause(now)
	}
	d.hasPacket, d.packetAt = true, now
}

// RecordPause records that the entry did not run for a time.
func (d *Detector) RecordPause(now time.Time) { d.hasPaused, d.pausedAt = true, now }

// Stop records that the entry leaves the rotation, which counts as a change from now on.
func (d *Detector) Stop() { d.isStopped = true }

// IsChanging reports whether flows may move to other entries, or have moved a short time ago.
func (d *Detector) IsChanging(now time.Time) bool {
	return d.isStopped || d.hasChanged && now.Sub(d.changedAt) < memory
}

// HasPaused reports whether the entry may have been paused, or out of the rotation, a short time ago.
func (d *Detector) HasPaused(now time.Time) bool {
	return d.hasPaused && now.Sub(d.pausedAt) < memory
}

func (d *Detector) recordChange(now time.Time) { d.hasChanged, d.changedAt = true, now }
