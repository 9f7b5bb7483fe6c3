package gossiper

import "time"

const (
	// MessageOverhead is the cost of a call in bytes beyond its body, in both TCP
	// streams together: 113 bytes of gRPC, HTTP/2 and TLS (see TestMessageOverhead in
	// entry/routers/communicator), and allowance for TCP acknowledgements and for connecting.
	MessageOverhead = 260

	// envelopeBytes is the encoded size of an envelope with a probe and without
	// rumours.
	envelopeBytes = 45

	// MaxRumourBytes is the maximum encoded size of the rumours in one message.
	MaxRumourBytes = 1200

	bytesPerSecond    = 2500
	messagesPerSecond = 4
	// Bursts let a change reach all peers of a small region well within a
	// second; the average stays bounded by the rates.
	byteBurst    = 5000
	messageBurst = 8
)

// budget limits the traffic with two token buckets. Probes, their acknowledgements and
// anti-entropy messages are always sent. They consume tokens too, which leaves fewer
// for rumours.
type budget struct {
	last     time.Time
	bytes    float64
	messages float64
}

func newBudget(now time.Time) budget {
	return budget{last: now, bytes: byteBurst, messages: messageBurst}
}

func (b *budget) refill(now time.Time) {
	elapsed := now.Sub(b.last).Seconds()
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.bytes = min(byteBurst, b.bytes+elapsed*bytesPerSecond)
	b.messages = min(messageBurst, b.messages+elapsed*messagesPerSecond)
}

func (b *budget) take(bytes int) {
	b.bytes = max(-byteBurst, b.bytes-float64(bytes))
	b.messages = max(-messageBurst, b.messages-1)
}

// room returns how many bytes of rumours the next message may carry.
func (b *budget) room() int {
	return max(0, min(MaxRumourBytes, int(b.bytes)-MessageOverhead-envelopeBytes))
}

// mayGossip reports whether a message that only carries rumours may be sent.
func (b *budget) mayGossip() bool { return b.messages >= 1 && b.bytes >= 2*MessageOverhead }
