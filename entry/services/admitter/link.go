package admitter

import "time"

const (
	// usualLinkUse is the share of the rate that the link may carry as long as nothing more is known of it. The
	// rest is left for what frames take beside packets, and for bursts, as the queue of a link may be short.
	usualLinkUse = 0.8
	// maxLinkUse and minLinkUse limit that share, which falls while packets are lost or wait, and rises
	// otherwise. It rises above the usual one only while the link refuses flows and opening others is measured
	// to be quick: refusing a flow costs up to three opening packets, a sixth of what serving it takes.
	maxLinkUse = 1.0
	minLinkUse = 0.4
	// lossMemory is how long the share stays at the usual one or below after a link has lost packets. Finding
	// that out takes the 200 ms after which callers send packets again, and is to cost little of the time.
	lossMemory = time.Minute
	// useDecrease and useIncrease change the permitted share after a window with and without such signs.
	useDecrease = 0.85
	useIncrease = 0.05
	// maxQueueing is the mean time that opening a flow may take longer than the shortest one lately. It is an
	// eighth of the 200 ms after which callers send packets again, as single packets wait several times the
	// mean, and packets of a request wait twice in sequence: the opening one and the data.
	maxQueueing = 25 * time.Millisecond
	// longQueueing is half of those 200 ms. A link that queues for as long carries more and more opening packets
	// twice, and does not become empty while all flows of the highest rank are admitted up to minLinkUse. The
	// share falls further then, by longQueueingDecrease down to minLongQueueingUse.
	longQueueing         = 100 * time.Millisecond
	longQueueingDecrease = 0.6
	minLongQueueingUse   = 0.3
	// reservedUse is the share of the rate that refused opening packets never take from new flows. They come
	// whether they are refused or not, and could keep out all flows otherwise.
	reservedUse = 0.15
	// busyLinkUse is the share of the rate from which loss and delay are taken for signs of a full link.
	// Below it they have other causes, such as a backend server that does not answer.
	busyLinkUse = 0.4
	// linkWindow is the interval at which the link is judged. It spans several round trips of callers.
	linkWindow = 100 * time.Millisecond
	// maxCopies is the share of copies among opening packets above which a busy link loses packets, and
	// minCopies their least number.
	maxCopies = 0.1
	minCopies = 3
	// baselineMemory is how long the shortest opening time is remembered, at least.
	baselineMemory = 10 * time.Second
	// bucketDepth is the time in which the link carries what the bucket holds.
	bucketDepth = 100 * time.Millisecond
	// lowestRankLevel is the fill of the bucket up to which flows of the lowest rank are admitted.
	lowestRankLevel = 0.5
	// openFlowLevel is the fill up to which packets that belong to no new flow are charged. Flows of all ranks
	// above the lowest are admitted beyond it, those of the highest until the bucket is full.
	openFlowLevel = 0.9
	// defaultFlowBytes is what a new flow is expected to send until that is measured, and flowSmoothing the
	// weight of the newest window in the measured figure.
	defaultFlowBytes = 1000
	flowSmoothing    = 0.1
	// idleReset is the pause after which nothing is known of the link.
	idleReset = time.Second
)

// linkLimiter is a leaky bucket of the bytes that the link is expected to carry. A new flow is charged at
// once with all that it is expected to send, so that the first moment of a burst is not admitted as a whole.
// Refusing a flow saves its data and acknowledgements; the opening packet itself costs little.
type linkLimiter struct {
	// rate is that of the link in bytes per second; 0 sets no limit.
	rate float64
	// use is the share of the rate that the link may carry at present.
	use float64
	// lostAt is when the link last lost packets; zero if it did not.
	lostAt time.Time
	// level is the fill of the bucket in bytes.
	level     float64
	drainedAt time.Time
	flowBytes float64
	baseline  baseline
	window    linkWindowCounts
}

// linkWindowCounts holds what was counted in one window.
type linkWindowCounts struct {
	startedAt time.Time
	// bytes are all that were received, chargedBytes those not covered by the charge for a new flow, and
	// openingBytes those of opening packets among the latter.
	bytes, chargedBytes, openingBytes int
	// admitted and refused count new flows.
	admitted, refused int
	// openings counts the opening packets that are not copies, and copies the others.
	openings, copies int
	// opened counts the flows that were opened, and openingTime is the sum of the times that it took.
	opened      int
	openingTime time.Duration
}

// recordPacket records a packet.
func (l *linkLimiter) recordPacket(p Packet, now time.Time) {
	if l.rate <= 0 {
		return
	}
	l.advance(now)
	l.window.bytes += p.Size
	if p.IsOpening {
		if p.IsCopy {
			l.window.copies++
		} else {
			l.window.openings++
		}
	}
	if p.IsExpected {
		return
	}
	l.window.chargedBytes += p.Size
	if p.IsOpening {
		if l.window.openingBytes += p.Size; float64(l.window.openingBytes) > (l.use-reservedUse)*l.rate*linkWindow.Seconds() {
			return
		}
	}
	// Packets of open flows and refused openings come whether there is room for them or not. They fill the
	// bucket only so far that the higher ranks still find room.
	if limit := openFlowLevel * l.depth(); l.level < limit {
		l.level = min(l.level+float64(p.Size), limit)
	}
}

// recordOpened records how long opening a flow took.
func (l *linkLimiter) recordOpened(d time.Duration, now time.Time) {
	l.baseline.record(d, now)
	l.window.opened++
	l.window.openingTime += d
}

// admit reports whether a new flow fits the link. urgency is 1 for the highest rank and 0 for the lowest.
func (l *linkLimiter) admit(urgency float64, now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.advance(now)
	limit := lowestRankLevel
	if urgency > 0 {
		limit = openFlowLevel + (1-openFlowLevel)*urgency
	}
	if l.level > l.depth()*limit {
		l.window.refused++
		return false
	}
	l.window.admitted++
	l.level += l.flowBytes
	return true
}

// isLimiting reports whether the link refuses flows of the lowest rank.
func (l *linkLimiter) isLimiting(now time.Time) bool {
	if l.rate <= 0 {
		return false
	}
	l.advance(now)
	return l.level > l.depth()*lowestRankLevel
}

// depth returns the size of the bucket in bytes.
func (l *linkLimiter) depth() float64 { return usualLinkUse * l.rate * bucketDepth.Seconds() }

// advance drains the bucket and ends the window if its time is over.
func (l *linkLimiter) advance(now time.Time) {
	passed := now.Sub(l.drainedAt)
	if passed > idleReset {
		*l = linkLimiter{
			rate: l.rate, use: usualLinkUse, lostAt: l.lostAt, drainedAt: now, flowBytes: max(l.flowBytes, defaultFlowBytes),
			window: linkWindowCounts{startedAt: now},
		}
		return
	}
	if passed > 0 {
		l.level = max(l.level-l.use*l.rate*passed.Seconds(), 0)
		l.drainedAt = now
	}
	if now.Sub(l.window.startedAt) >= linkWindow {
		l.adapt(now)
		l.window = linkWindowCounts{startedAt: now}
	}
}

// adapt changes the permitted use of the link after a window.
func (l *linkLimiter) adapt(now time.Time) {
	w, queueing := l.window, l.window.queueing(l.baseline.get())
	isBusy := float64(w.bytes)/now.Sub(w.startedAt).Seconds()/l.rate > busyLinkUse
	switch {
	case isBusy && w.losesPackets():
		l.use, l.lostAt = max(min(l.use, usualLinkUse)*useDecrease, minLinkUse), now
		return
	case isBusy && queueing > longQueueing:
		l.use = max(l.use*longQueueingDecrease, minLongQueueingUse)
		return
	case isBusy && queueing > maxQueueing:
		l.use = max(l.use*useDecrease, minLinkUse)
		return
	}
	isProved := w.opened > 0 && now.Sub(l.lostAt) > lossMemory
	switch {
	case l.use < usualLinkUse:
		l.use = min(l.use+useIncrease, usualLinkUse)
	case isProved && w.refused > 0:
		l.use = min(l.use+useIncrease, maxLinkUse)
	case w.refused == 0:
		l.use = max(l.use-useIncrease, usualLinkUse)
	}
	if w.admitted > 0 {
		l.flowBytes += flowSmoothing * (float64(w.bytes-w.chargedBytes)/float64(w.admitted) - l.flowBytes)
	}
}

// losesPackets reports whether callers had to send many opening packets again.
func (w linkWindowCounts) losesPackets() bool {
	return w.copies >= minCopies && float64(w.copies) > maxCopies*float64(w.openings+w.copies)
}

// queueing returns by how much opening a flow took longer than the baseline, on average.
func (w linkWindowCounts) queueing(baseline time.Duration) time.Duration {
	if w.opened == 0 {
		return 0
	}
	return w.openingTime/time.Duration(w.opened) - baseline
}

// baseline is the shortest opening time of the last one to two intervals of baselineMemory.
type baseline struct {
	startedAt         time.Time
	current, previous time.Duration
}

func (b *baseline) record(d time.Duration, now time.Time) {
	if now.Sub(b.startedAt) >= baselineMemory {
		*b = baseline{startedAt: now, current: d, previous: b.current}
	}
	b.current = min(b.current, d)
}

func (b *baseline) get() time.Duration {
	if b.previous == 0 {
		return b.current
	}
	return min(b.current, b.previous)
}
