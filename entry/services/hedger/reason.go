package hedger

// Reason is why a late opening gets no second packet.
type Reason uint8

// Reasons for withholding a second opening.
const (
	ReasonNone Reason = iota
	// ReasonLimit is a limit that is used up.
	ReasonLimit
	// ReasonLateOpenings is more late openings than one backend server explains.
	ReasonLateOpenings
	// ReasonSlowOpenings is an opening time that usually exceeds the longest delay.
	ReasonSlowOpenings
	// ReasonOverdue is a decision so late, after a pause of the process, that the caller sends a copy itself.
	ReasonOverdue
	// ReasonRefusals is a new flow that was refused a short time ago because of load.
	ReasonRefusals
	// ReasonRotation is a change of the entries that get packets, or a sign of one.
	ReasonRotation
	// ReasonStaleView is a view that does not show such changes because it is out of date.
	ReasonStaleView
	// ReasonNoServer is that no other backend server can take the flow now.
	ReasonNoServer

	reasonCount
)

// String returns the name of the reason in counters and logs.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "limit", "late_openings", "slow_openings", "overdue", "refusals", "rotation", "stale_view", "no_server",
	}
	if r >= reasonCount {
		return "unknown"
	}
	return names[r]
}

// Reasons returns all reasons for withholding a second opening.
func Reasons() []Reason {
	reasons := make([]Reason, 0, reasonCount)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}
