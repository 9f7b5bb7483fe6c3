package replicator

// maxNumber bounds the terms, indexes and rounds of messages. No log gets near it, and sums
// with it do not overflow.
const maxNumber = 1 << 62

func areNumbers(values ...uint64) bool {
	for _, v := range values {
		if v > maxNumber {
			return false
		}
	}
	return true
}

// isValid reports whether the fields of a message fit together. A message that does not is
// refused before it can change anything.
func isValid(message Message) bool {
	switch msg := message.(type) {
	case *VoteRequest:
		return areNumbers(msg.Term, msg.LastIndex, msg.LastTerm)
	case *VoteResponse:
		return areNumbers(msg.Term, msg.For)
	case *AppendRequest:
		return areNumbers(msg.Term, msg.PrevIndex, msg.Commit, msg.Round) && msg.areEntriesValid()
	case *AppendResponse:
		return areNumbers(msg.Term, msg.Match, msg.Hint, msg.Echo.Round)
	case *SnapshotRequest:
		return areNumbers(msg.Term, msg.Round, msg.Offset, msg.Total, msg.Header.Index) && msg.isHeaderValid()
	case *SnapshotResponse:
		return areNumbers(msg.Term, msg.Index, msg.Offset, msg.Echo.Round)
	case *VerifyRequest, *JoinRequest, *JoinResponse:
		return true
	case *VerifyResponse:
		return areNumbers(msg.Term, msg.LastIndex, msg.LastTerm, msg.MembershipIndex)
	case *HandOver:
		return areNumbers(msg.Term)
	default:
		return false
	}
}

// areEntriesValid reports whether the entries follow PrevIndex, are of terms up to that of
// the leader, in order, and can be read.
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

// isHeaderValid reports whether a snapshot can be of the leader's log, and names voters.
func (req *SnapshotRequest) isHeaderValid() bool {
	h := req.Header
	return h.Index > 0 && h.Term <= req.Term && h.MembershipIndex <= h.Index && h.Membership.Voters() > 0 &&
		!h.Membership.Cluster.IsZero() && req.Offset+uint64(len(req.Data)) <= req.Total
}
