package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wheatspur/internal/fake"
)

// randomPause waits for a time between two, or until ctx ends.
func randomPause(ctx context.Context, random *rand.Rand, shortest, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(shortest + time.Duration(random.Int64N(int64(longest-shortest)))):
	}
}

// repeat injects a fault after each of a row of random pauses, until ctx ends.
func repeat(ctx context.Context, random *rand.Rand, shortest, longest time.Duration, inject func()) {
	for {
		randomPause(ctx, random, shortest, longest)
		if ctx.Err() != nil {
			return
		}
		inject()
	}
}

// count adds one to a number that other goroutines may read.
func (l *quotaLoad) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// killControllers kills one controller after the other.
func (l *quotaLoad) killControllers(ctx context.Context, random *rand.Rand) {
	var watches sync.WaitGroup
	defer watches.Wait()
	repeat(ctx, random, time.Second, 5*time.Second, func() {
		i := random.IntN(len(l.controllers))
		if !l.Kill(i) {
			l.t.Errorf("%s had ended by itself; the end of its log:\n%s", l.Label(i), l.controllers[i].log)
		}
		l.count(&l.kills)
		killed := time.Now()
		watches.Go(func() { l.watchRecovery(ctx, killed) })
		randomPause(ctx, random, 50*time.Millisecond, 1500*time.Millisecond)
		if err := l.StartController(i); err != nil {
			l.t.Error(err)
		}
	})
}

// watchRecovery records how long after a kill every team has all of its limit
// again.
func (l *quotaLoad) watchRecovery(ctx context.Context, killed time.Time) {
	for !l.checker.AllAtLimitSince(killed) {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recordSince(l.recoveryDelays, killed)
}

// failStoreLinks lets the link of one controller to the store fail at a time.
func (l *quotaLoad) failStoreLinks(ctx context.Context, random *rand.Rand) {
	faults := []fake.Faults{{Refuse: true}, {Cut: true}, {Lost: 0.5}, {Late: 0.5}, {Lost: 0.2, Late: 0.2, Delay: 30 * time.Millisecond}}
	repeat(ctx, random, 300*time.Millisecond, 2*time.Second, func() {
		link := l.StoreLink(random.IntN(len(l.controllers)))
		link.Set(faults[random.IntN(len(faults))])
		l.count(&l.linkFaults)
		randomPause(ctx, random, 500*time.Millisecond, 4*time.Second)
		link.Set(fake.Faults{})
	})
}

// cutMachineLinks lets one machine not reach one controller at a time.
func (l *quotaLoad) cutMachineLinks(ctx context.Context, random *rand.Rand) {
	repeat(ctx, random, 300*time.Millisecond, 2*time.Second, func() {
		link := l.Machines[random.IntN(len(l.Machines))].Link(l.Label(random.IntN(len(l.controllers))))
		link.Set(fake.Faults{Cut: true})
		l.count(&l.linkFaults)
		randomPause(ctx, random, 500*time.Millisecond, 8*time.Second)
		link.Set(fake.Faults{})
	})
}
