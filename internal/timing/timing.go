// Package timing provides pauses that end with a context, and jitter for pauses. It has no
// clock of its own: code that makes decisions based on the time takes it as an argument.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Jitter returns a random duration between half of d and one and a half times d.
// It panics if d is not positive.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
