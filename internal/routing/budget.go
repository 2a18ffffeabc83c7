package routing

import (
	"sync/atomic"
	"time"
)

// Budget bounds retries and hedges to a tenth of the requests, so that they
// cannot multiply the load of a system in trouble. The zero value is empty;
// use NewBudget.
type RetryBudget struct{ tokens atomic.Int64 }

const (
	depositsPerRetry = 10  // deposits that pay for one retry: 10% of requests
	initialRetries   = 10  // retries allowed before the first deposits
	maxSavedRetries  = 100 // retries that a quiet time can save up
)

// NewBudget returns a budget that allows a few retries at once.
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

// Withdraw pays for one retry or hedge and reports whether the budget held it.
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

// Deadline is the moment by which a caller needs the response.
type Deadline struct{ At time.Time }

// Remaining is the time left, not below zero.
func (d Deadline) Remaining(now time.Time) time.Duration { return max(0, d.At.Sub(now)) }

// Allows reports whether work that takes about need can still end in time.
func (d Deadline) CanFinish(need time.Duration, now time.Time) bool { return d.Remaining(now) > need }
