package dispatcher

import "sync"

// maxSavedRetries is the maximum number of unused retries that the budget accumulates while few
// requests need one.
const maxSavedRetries = 10

// RetryBudget limits retries to a share of the requests.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewRetryBudget returns a RetryBudget that allows one retry for each 1/share requests.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{share: share} }

// Deposit adds the share of one request to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxSavedRetries)
}

// TryWithdraw takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance covers rounding: ten deposits of 0.1 add up to slightly less than 1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
