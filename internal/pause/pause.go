// Package pause provides sleeps that end early when a context is done.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps for d. It reports false if ctx ended first. If d is not positive, it
// returns true at once.
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

// Jittered sleeps like For, for half of d plus a random part of the other half, so
// that processes that failed at the same time do not retry at the same time.
func Jittered(ctx context.Context, d time.Duration) bool {
	return For(ctx, d/2+rand.N(d/2+1))
}
