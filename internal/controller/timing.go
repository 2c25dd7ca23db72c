package controller

import (
	"context"
	"math/rand/v2"
	"time"
)

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter spreads d between half and one and a half.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
