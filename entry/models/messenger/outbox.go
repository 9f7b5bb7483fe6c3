package messenger

// Handler handles a message from another entry. It must not block.
type Handler func(from string, message Message)

// Outbox sends messages to other entries.
type Outbox interface {
	// Send queues messages for the named live entry. It returns false if there is no
	// such entry or the queue is full. Delivery of a queued message is not guaranteed.
	Send(to string, messages ...Message) bool
}
