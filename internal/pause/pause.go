// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and reports false when ctx ended first. It returns at once
// when d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jittered waits like For, for half of d and a random part of the other half,
// so that processes that failed together do not try again together.
func Jittered(ctx context.Context, d time.Duration) bool {
	return For(ctx, d/2+rand.N(d/2+1))
}
