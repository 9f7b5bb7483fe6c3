// Package budgeter limits extra work, such as retries, to a share of the requests.
package budgeter

import "sync"

// maxTokens is the maximum number of unused tokens that a Budget accumulates while few requests
// need one. It limits a burst of extra work after a quiet time.
const maxTokens = 10

// Budget is a token bucket that each request fills by a share of a token. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// New returns an empty Budget that allows one token for each 1/share requests.
func New(share float64) *Budget { return &Budget{share: share} }

// Deposit adds the share of one request to the budget.
func (b *Budget) Deposit() { b.add(b.share) }

// Refund puts back a token that was not used.
func (b *Budget) Refund() { b.add(1) }

func (b *Budget) add(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokens, maxTokens)
}

// TryWithdraw takes one token from the budget. It returns false if none is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance covers rounding: ten deposits of 0.1 add up to slightly less than 1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
