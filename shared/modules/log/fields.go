package log

// Attribute keys of log lines in all programs. docs/OPERATIONS.md explains them.
const (
	// FieldCaller and FieldRoute are the source and the destination address of a
	// flow.
	FieldCaller = "caller"
	FieldRoute  = "route"
	// FieldToken identifies one start of a backend server, and FieldHost is its host
	// name.
	FieldToken = "token"
	FieldHost  = "host"
	// FieldAddress is the address of a backend server.
	FieldAddress    = "address"
	FieldService    = "service"
	FieldDataCentre = "data_centre"
	// FieldIndex is the index in the replicated log of control on which a decision
	// is based, and FieldVersion the version of the configuration.
	FieldIndex   = "index"
	FieldVersion = "version"
	// FieldAge is the time since control last confirmed the view.
	FieldAge = "age"
	// FieldReason is the reason of an event, and FieldOutcome its result.
	FieldReason  = "reason"
	FieldOutcome = "outcome"
	// FieldLeftOut is the number of suppressed lines of the same kind since the last
	// one.
	FieldLeftOut = "left_out"
	FieldReplica = "replica"
	FieldError   = "error"
)
