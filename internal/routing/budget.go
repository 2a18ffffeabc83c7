package routing

import (
	"sync/atomic"
	"time"
)

// RetryBudget limits retries and hedges to a tenth of the requests, so that
// they cannot multiply the load of an overloaded system. The zero value is
// empty; use NewRetryBudget.
type RetryBudget struct{ tokens atomic.Int64 }

const (
	depositsPerRetry = 10  // limits retries to 10% of the requests
	initialRetries   = 10  // allowed before the first deposits
	maxSavedRetries  = 100 // accumulated at most while there are no retries
)

// NewRetryBudget returns a budget that allows initialRetries retries before the
// first deposit.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.tokens.Store(initialRetries * depositsPerRetry)
	return b
}

// Deposit accounts for one request of a caller.
func (b *RetryBudget) Deposit() {
	if b.tokens.Load() < maxSavedRetries*depositsPerRetry {
		b.tokens.Add(1)
	}
}

// Withdraw deducts the cost of one retry or hedge. It returns false, and deducts
// nothing, when the budget is too low.
func (b *RetryBudget) Withdraw() bool {
	for {
		n := b.tokens.Load()
		if n < depositsPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-depositsPerRetry) {
			return true
		}
	}
}

// Deadline is the time by which a caller needs the response.
type Deadline struct{ At time.Time }

// Remaining returns the time left, or 0 after the deadline.
func (d Deadline) Remaining(now time.Time) time.Duration { return max(0, d.At.Sub(now)) }

// CanFinish reports whether work that takes about need can finish before the
// deadline.
func (d Deadline) CanFinish(need time.Duration, now time.Time) bool { return d.Remaining(now) > need }
