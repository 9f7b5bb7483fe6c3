package admitter

import "time"

const (
	// usualLinkUse is the share of the rate that new flows and refusals may fill. The queue is known, so that
	// nothing has to be left unused. What the entry exchanges with control takes less than 0.005 of the link.
	usualLinkUse = 1.0
	// lossyLinkUse limits that share for lossMemory after a link has lost packets. Finding that out again takes the
	// 200 ms after which callers send packets again, and is to cost little of the time.
	lossyLinkUse = 0.8
	lossMemory   = time.Minute
	// minLinkUse limits that share, which falls while packets are lost or wait for longer than what this entry
	// has sent explains: the link is then slower than its settings say, or carries more than the entry knows.
	minLinkUse = 0.4
	// useDecrease and useIncrease change the permitted share after a window with and without such signs.
	useDecrease = 0.85
	useIncrease = 0.05
	// maxQueueing is the mean time that opening a flow may take longer than the shortest one lately and the queue
	// of the entry explain. It is an eighth of the 200 ms after which callers send packets again, as single
	// packets wait several times the mean, and packets of a request wait twice in sequence: the opening one and
	// the data.
	maxQueueing = 25 * time.Millisecond
	// longQueueing is half of those 200 ms. A link that queues for as long carries more and more opening packets
	// twice, and does not become empty while all flows of the highest rank are admitted up to minLinkUse. The
	// share falls further then, by longQueueingDecrease down to minLongQueueingUse.
	longQueueing         = 100 * time.Millisecond
	longQueueingDecrease = 0.6
	minLongQueueingUse   = 0.3
	// maxRefusalUse is the share of the rate that refusals may take. Callers whose refusals exceed it get no
	// answer, as the others would not be served otherwise.
	maxRefusalUse = 0.5
	// maxQueue is the longest wait for the link. What is sent beyond it counts as lost.
	maxQueue = 50 * time.Millisecond
	// maxLowestRankQueue is the wait from which no flow of the lowest rank is admitted, so that refusals and the
	// higher ranks find room, and maxHigherRankQueue that of the other ranks.
	maxLowestRankQueue = maxQueue / 5
	maxHigherRankQueue = maxQueue * 4 / 5
	// reservedUse is the share of the rate that flows of the highest rank, or of the only one, find also where open
	// flows fill the link.
	reservedUse = 0.25
	// copyShare is the part of its share of the link that a flow may use whose first opening packet was not
	// answered. Its caller has lost the time of the target latency, and that of another flow has not.
	copyShare = 0.5
	// promotedUse is the share of the rate that flows which keep a lower rank from starving find also where the
	// highest rank fills the link. They are a part of the attempts to open a flow, of which refused callers make
	// many, so that without this limit they took a fifth of the link from the highest rank.
	promotedUse = 0.05
	// maxRefusalQueue is the wait from which refusals are withheld. A lost packet of an open flow costs its caller
	// 200 ms.
	maxRefusalQueue = maxQueue / 2
	// maxLinkRefusalUse and maxLinkRefusalQueue are the same for flows that the link has no room for. Three refusals
	// take 300 bytes of the 1,340 of a request, which they may displace only in part.
	maxLinkRefusalUse   = 0.25
	maxLinkRefusalQueue = maxLowestRankQueue
	// minFitting is the share of the new flows that fit the link from which the others are dropped instead of
	// refused. Their callers send a copy after 200 ms, which most likely fits. A refused caller tries again at once
	// and has used up its attempts in some milliseconds.
	minFitting = 0.5
	// busyLinkUse is the share of the rate from which loss and delay are taken for signs of a full link.
	// Below it they have other causes, such as a backend server that does not answer.
	busyLinkUse = 0.4
	// linkWindow is the interval at which the link is judged. It spans several round trips of callers.
	linkWindow = 100 * time.Millisecond
	// maxCopies is the share of copies among opening packets above which a busy link loses packets, and
	// minCopies their least number.
	maxCopies = 0.1
	minCopies = 3
	// copyMemory is how long after a loss copies of opening packets still come.
	copyMemory = time.Second
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

// linkLimiter limits what the entry sends on its link. queue follows the packets that were sent, and level is a
// leaky bucket that is charged at once with all that a new flow is expected to send, so that the first moment of
// a burst is not admitted as a whole. It is never below the queue. Packets that callers send to the entry use the
// other direction of the link, which has fewer bytes to carry.
type linkLimiter struct {
	// rate is that of the link in bytes per second; 0 sets no limit.
	rate float64
	// use is the share of the rate that the link may carry at present.
	use float64
	// lostAt is when the link last lost packets; zero if it did not.
	lostAt time.Time
	// queue holds the bytes that were sent and that the link has not carried yet.
	queue float64
	// filledAt is when the queue was last full, so that packets were lost; zero if it was not.
	filledAt time.Time
	// level is the fill of the bucket in bytes.
	level float64
	// refusals, reserved and promoted are the fills in bytes of the buckets of refusals, of the flows that have a
	// reserved share and of those that keep a lower rank from starving.
	refusals, reserved, promoted float64
	drainedAt                    time.Time
	flowBytes                    float64
	// fitting is the share of the new flows that fitted the link in the last window.
	fitting  float64
	baseline baseline
	window   linkWindowCounts
}

// recordPacket records a packet that the entry sends.
func (l *linkLimiter) recordPacket(p Packet, now time.Time) {
	if l.rate <= 0 {
		return
	}
	l.advance(now)
	if l.queue += float64(p.Size); l.queue > l.rate*maxQueue.Seconds() {
		l.queue, l.filledAt = l.rate*maxQueue.Seconds(), now
	}
	l.level = max(l.level, l.queue)
	l.window.bytes += p.Size
	switch {
	case p.IsRefusal:
		l.refusals += float64(p.Size)
	case p.IsOpening && p.IsCopy:
		l.window.copies++
	case p.IsOpening:
		l.window.openings++
	}
	if p.IsExpected {
		return
	}
	l.window.chargedBytes += p.Size
	// Packets of open flows and refusals come whether there is room for them or not. They fill the bucket only so
	// far that the higher ranks still find room.
	if limit := openFlowLevel * l.depth(); l.level < limit {
		l.level = min(l.level+float64(p.Size), limit)
	}
}

// recordOpened records how long opening a flow took, without the wait for the link that was expected. That is
// less than 0 on a link which is faster than its settings, and no baseline for others then.
func (l *linkLimiter) recordOpened(d time.Duration, now time.Time) {
	d = max(d, 0)
	l.baseline.record(d, now)
	l.window.opened++
	l.window.openingTime += d
}

// linkShare is what part of the link a new flow may use.
type linkShare struct {
	// level is the fill of the bucket up to which the flow is admitted, and wait the longest wait for the link.
	level float64
	wait  time.Duration
	// isReserved is set if the flow may use the reserved share of the link beyond that, and isPromoted if it may
	// use that of the flows which keep a lower rank from starving.
	isReserved, isPromoted bool
}

// shareOf returns the share of a flow. urgency is 1 for the highest rank and 0 for the lowest.
func shareOf(urgency float64) linkShare {
	if urgency <= 0 {
		return linkShare{level: lowestRankLevel, wait: maxLowestRankQueue}
	}
	return linkShare{level: openFlowLevel + (1-openFlowLevel)*urgency, wait: maxHigherRankQueue, isReserved: urgency >= 1}
}

// onlyShare is that of flows beside which there is no other rank, as nothing has to give way to them.
var onlyShare = linkShare{level: lowestRankLevel, wait: maxHigherRankQueue, isReserved: true}

// forPromoted returns the share of the highest rank for a flow that keeps a lower rank from starving.
func (s linkShare) forPromoted() linkShare {
	s.isReserved, s.isPromoted = false, true
	return s
}

// forCopy returns the share of a flow whose first opening packet was not answered.
func (s linkShare) forCopy() linkShare {
	s.level *= copyShare
	s.wait = time.Duration(float64(s.wait) * copyShare)
	return s
}

// fits reports whether a new flow fits its share of the link.
func (l *linkLimiter) fits(share linkShare, now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.advance(now)
	return l.level <= l.depth()*share.level && l.wait() <= share.wait ||
		share.isReserved && l.reserved <= 0 || share.isPromoted && l.promoted <= 0
}

// recordFit records whether a new flow fits.
func (l *linkLimiter) recordFit(fits bool) {
	if fits {
		l.window.fitted++
	} else {
		l.window.unfitted++
	}
}

// admit charges the link with a new flow.
func (l *linkLimiter) admit(share linkShare) {
	if l.rate <= 0 {
		return
	}
	if share.isReserved {
		l.reserved = min(l.reserved+l.flowBytes, l.depth())
	}
	if share.isPromoted {
		l.promoted = min(l.promoted+l.flowBytes, l.depth())
	}
	l.window.admitted++
	l.level += l.flowBytes
}

// mayRefuse reports whether the link has room for a refusal of the given size.
func (l *linkLimiter) mayRefuse(reason Reason, size int, now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.advance(now)
	use, queue := maxRefusalUse, maxRefusalQueue
	if reason == ReasonLinkFull {
		if l.fitting >= minFitting {
			return false
		}
		use, queue = maxLinkRefusalUse, maxLinkRefusalQueue
	}
	return l.refusals+float64(size) <= use*l.depth() && l.wait() <= queue
}

// isLimiting reports whether the link refuses flows of the lowest rank.
func (l *linkLimiter) isLimiting(now time.Time) bool {
	if l.rate <= 0 {
		return false
	}
	l.advance(now)
	return l.level > l.depth()*lowestRankLevel || l.wait() > maxLowestRankQueue
}

// depth returns the size of the bucket in bytes.
func (l *linkLimiter) depth() float64 { return l.rate * bucketDepth.Seconds() }

// wait returns how long a packet that is sent now waits for the link.
func (l *linkLimiter) wait() time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(l.queue / l.rate * float64(time.Second))
}

// advance drains the queue and the buckets, and ends the window if its time is over.
func (l *linkLimiter) advance(now time.Time) {
	passed := now.Sub(l.drainedAt)
	if passed > idleReset {
		*l = linkLimiter{
			rate: l.rate, use: usualLinkUse, fitting: 1, lostAt: l.lostAt, filledAt: l.filledAt, drainedAt: now, flowBytes: max(l.flowBytes, defaultFlowBytes),
			window: linkWindowCounts{startedAt: now},
		}
		return
	}
	if passed > 0 {
		carried := l.rate * passed.Seconds()
		l.queue = max(l.queue-carried, 0)
		l.level = max(l.level-l.use*carried, 0)
		l.refusals = max(l.refusals-maxRefusalUse*carried, 0)
		l.reserved = max(l.reserved-reservedUse*carried, 0)
		l.promoted = max(l.promoted-promotedUse*carried, 0)
		l.drainedAt = now
	}
	if now.Sub(l.window.startedAt) >= linkWindow {
		l.adapt(now)
		l.fitting = l.window.fittingShare()
		l.window = linkWindowCounts{startedAt: now}
	}
}

// adapt changes the permitted use of the link after a window.
func (l *linkLimiter) adapt(now time.Time) {
	w, queueing := l.window, l.window.queueing(l.baseline.get())
	isBusy := float64(w.bytes)/now.Sub(w.startedAt).Seconds()/l.rate > busyLinkUse
	switch {
	case isBusy && queueing > longQueueing:
		l.use = max(l.use*longQueueingDecrease, minLongQueueingUse)
		return
	case isBusy && w.losesPackets() && now.Sub(l.filledAt) > copyMemory:
		l.use, l.lostAt = max(min(l.use, lossyLinkUse)*useDecrease, minLinkUse), now
		return
	case isBusy && queueing > maxQueueing:
		l.use = max(l.use*useDecrease, minLinkUse)
		return
	}
	most := usualLinkUse
	if now.Sub(l.lostAt) < lossMemory {
		most = lossyLinkUse
	}
	l.use = min(l.use+useIncrease, most)
	if w.admitted > 0 {
		l.flowBytes += flowSmoothing * (float64(w.bytes-w.chargedBytes)/float64(w.admitted) - l.flowBytes)
	}
}
