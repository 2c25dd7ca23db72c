// Package timing waits: for a time or the end of a context, and spreads pauses.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Jitter spreads d between half and one and a half.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
