package dispatcher

import "sync"

// retryBurst is the number of retries that may be saved up while few requests
// need one.
const retryBurst = 10

// Budget limits retries to a share of the requests.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewBudget returns a Budget that allows one retry for each 1/share requests.
func NewBudget(share float64) *Budget { return &Budget{share: share} }

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, retryBurst)
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Ten times 0.1 is slightly less than 1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
