package messenger

// Probe asks a peer whether it is alive.
type Probe struct {
	sealed   `cbor:"-"`
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind returns KindProbe.
func (Probe) Kind() Kind { return KindProbe }

// ProbeAck answers a Probe.
type ProbeAck struct {
	sealed   `cbor:"-"`
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind returns KindProbeAck.
func (ProbeAck) Kind() Kind { return KindProbeAck }
