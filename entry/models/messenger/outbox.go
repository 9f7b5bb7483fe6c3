package messenger

// Handler takes a message from another entry. It must not block.
type Handler func(from string, message Message)

// Outbox sends messages to other entries.
type Outbox interface {
	// Send queues messages for the named live entry. It returns false if there
	// is no such entry or the queue is full. A queued message may still get lost.
	Send(to string, messages ...Message) bool
}
