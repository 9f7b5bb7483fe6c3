package log

// Fields of the lines of all programs. docs/OPERATIONS.md explains them.
const (
	// FieldCaller and FieldRoute are the two addresses of a flow.
	FieldCaller = "caller"
	FieldRoute  = "route"
	// FieldToken numbers one start of a backend server; FieldHost is its name.
	FieldToken = "token"
	FieldHost  = "host"
	// FieldAddress is that of a backend server.
	FieldAddress    = "address"
	FieldService    = "service"
	FieldDataCentre = "data_centre"
	// FieldIndex is the position in the log of control that a decision rests on,
	// and FieldVersion that of the configuration.
	FieldIndex   = "index"
	FieldVersion = "version"
	// FieldAge is the time since control last confirmed the view.
	FieldAge = "age"
	// FieldReason tells why, FieldOutcome what follows.
	FieldReason  = "reason"
	FieldOutcome = "outcome"
	// FieldLeftOut counts the lines of the same kind that were left out before.
	FieldLeftOut = "left_out"
	FieldReplica = "replica"
	FieldError   = "error"
)
