package replicator

// maxFieldValue bounds the terms, indexes and rounds of messages. No real log reaches it, and
// sums of values within it do not overflow.
const maxFieldValue = 1 << 62

func areInRange(values ...uint64) bool {
	for _, v := range values {
		if v > maxFieldValue {
			return false
		}
	}
	return true
}

// isValid reports whether the fields of a message are in range and consistent. An invalid
// message is refused before it can change any state.
func isValid(message Message) bool {
	switch msg := message.(type) {
	case *VoteRequest:
		return areInRange(msg.Term, msg.LastIndex, msg.LastTerm)
	case *VoteResponse:
		return areInRange(msg.Term, msg.RequestTerm)
	case *AppendRequest:
		return areInRange(msg.Term, msg.PrevIndex, msg.LeaderCommit, msg.Round) && msg.areEntriesValid()
	case *AppendResponse:
		return areInRange(msg.Term, msg.MatchIndex, msg.RejectHint, msg.Echo.Round)
	case *SnapshotRequest:
		return areInRange(msg.Term, msg.Round, msg.Offset, msg.Total, msg.Header.Index) && msg.isHeaderValid()
	case *SnapshotResponse:
		return areInRange(msg.Term, msg.Index, msg.Offset, msg.Echo.Round)
	case *VerifyRequest, *JoinRequest, *JoinResponse, *LeaveRequest:
		return true
	case *VerifyResponse:
		return areInRange(msg.Term, msg.LastIndex, msg.LastTerm, msg.MembershipIndex)
	case *LeaveResponse:
		return areInRange(msg.Term, msg.MembershipIndex)
	case *TimeoutNow:
		return areInRange(msg.Term)
	default:
		return false
	}
}

// areEntriesValid reports whether the entries follow PrevIndex without gaps, have
// non-decreasing terms up to that of the leader, and can be decoded.
func (req *AppendRequest) areEntriesValid() bool {
	term := req.PrevTerm
	for i, e := range req.Entries {
		if e.Index != req.PrevIndex+1+uint64(i) || e.Term < term {
			return false
		}
		term = e.Term
		if _, err := decodeMembership(e); err != nil {
			return false
		}
	}
	return term <= req.Term
}

// isHeaderValid reports whether the snapshot can belong to the leader's log and its membership
// has a cluster and voters.
func (req *SnapshotRequest) isHeaderValid() bool {
	h := req.Header
	return h.Index > 0 && h.Term <= req.Term && h.MembershipIndex <= h.Index && h.Membership.Voters() > 0 &&
		!h.Membership.Cluster.IsZero() && req.Offset+uint64(len(req.Data)) <= req.Total
}
