package recorder

import (
	"math"
	"time"
)

// maxRetryAfter bounds estimates, because a backend server may send any Retry-After.
const maxRetryAfter = time.Hour

// SpreadRetryAfter returns the value of Retry-After for a refused request, in whole seconds as
// RFC 9110 demands: the estimate of when a slot is free, rounded up and at least 1 s, plus a random
// part of up to the same length, so that callers that were refused together do not return
// together. The function random returns a number from 0 to n-1.
func SpreadRetryAfter(estimate time.Duration, random func(n int64) int64) time.Duration {
	seconds := int64(math.Ceil(min(max(estimate, time.Second), maxRetryAfter).Seconds()))
	return time.Duration(seconds+random(seconds+1)) * time.Second
}

// isPermanent reports whether a request that was refused for this reason would be refused again
// at any later time.
func isPermanent(reason Reason) bool {
	switch reason {
	case ReasonBadRequest, ReasonUnknownService, ReasonKeyReused:
		return true
	default:
		return false
	}
}
