package replicator

// maxUnanswered is the number of unanswered messages to a replica from which on the leader sends it
// only heartbeats.
const maxUnanswered = 6

// window has the messages to a replica that it has not answered. Without a bound, a leader that
// appends faster than a link transmits keeps the link's queue full: all responses are then too late
// to count, and the replica never catches up.
type window struct {
	// unanswered has the messages in the order of their sending, without heartbeats that were sent
	// while the window was full. Those must not keep it full.
	unanswered []sentMessage
	// lastSentAt is the leader's clock at the sending of the last message of any kind.
	lastSentAt int64
}

// sentMessage has the leader's clock at the sending of a message, and the bytes of its entries or
// of its snapshot chunk.
type sentMessage struct {
	sentAt int64
	size   int
}

func (w *window) add(sentAt int64, size int, isFull bool) {
	if w.lastSentAt = sentAt; !isFull {
		w.unanswered = append(w.unanswered, sentMessage{sentAt: sentAt, size: size})
	}
}

// forget drops the messages that were sent up to a time. They are answered or lost: a link keeps the
// order of messages.
func (w *window) forget(until int64) {
	for len(w.unanswered) > 0 && w.unanswered[0].sentAt <= until {
		w.unanswered = w.unanswered[1:]
	}
}

// isFull reports whether too many messages are unanswered, or messages of at least maxBytes.
func (w *window) isFull(maxBytes int) bool {
	size := 0
	for _, message := range w.unanswered {
		size += message.size
	}
	return len(w.unanswered) >= maxUnanswered || size >= maxBytes
}
